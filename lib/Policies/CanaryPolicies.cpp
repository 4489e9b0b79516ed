/// \file
/// Canary plug-ins: never, and for content that no query has completed before.
#include "ragwortcart/Kernel/Policies.h"

#include <deque>
#include <unordered_set>

namespace ragwort {

namespace {

class NoCanary final : public CanaryPolicy
{
public:
    bool needsCanary(std::uint64_t /*fingerprint*/) override
    {
        return false;
    }
    void recordSuccess(std::uint64_t /*fingerprint*/) override
    {
    }
};

/// Maximum number of contents that are remembered as harmless; bounds the memory of the policy.
constexpr std::size_t KNOWN_CONTENT_CAPACITY = 65'536;

/// Requires a canary for unknown content. Remembers the contents of completed canaries and evicts the oldest.
class UnknownContentCanary final : public CanaryPolicy
{
public:
    bool needsCanary(std::uint64_t fingerprint) override
    {
        return !this->known.contains(fingerprint);
    }

    void recordSuccess(std::uint64_t fingerprint) override
    {
        if (!this->known.insert(fingerprint).second) {
            return;
        }
        this->order.push_back(fingerprint);
        if (this->order.size() > KNOWN_CONTENT_CAPACITY) {
            this->known.erase(this->order.front());
            this->order.pop_front();
        }
    }

private:
    /// Invariant: `order` contains exactly the members of `known`, oldest first.
    std::unordered_set<std::uint64_t> known;
    std::deque<std::uint64_t> order;
};

} // namespace

static const PluginRegistration<CanaryPolicy, NoCanary> NO_CANARY("none");
static const PluginRegistration<CanaryPolicy, UnknownContentCanary> UNKNOWN_CONTENT_CANARY("unknown-content");

} // namespace ragwort
