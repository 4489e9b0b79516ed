/// \file
/// Plug-ins that decide on canaries: never, and for content that has not been answered before.
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
    void recordHarmless(std::uint64_t /*fingerprint*/) override
    {
    }
};

/// Contents remembered as harmless.
constexpr std::size_t HARMLESS_CAPACITY = 65'536;

/// Sends unknown content to one server first. Remembers the contents that were answered, oldest forgotten first.
class UnknownContentCanary final : public CanaryPolicy
{
public:
    bool needsCanary(std::uint64_t fingerprint) override
    {
        return !this->harmless.contains(fingerprint);
    }

    void recordHarmless(std::uint64_t fingerprint) override
    {
        if (!this->harmless.insert(fingerprint).second) {
            return;
        }
        this->order.push_back(fingerprint);
        if (this->order.size() > HARMLESS_CAPACITY) {
            this->harmless.erase(this->order.front());
            this->order.pop_front();
        }
    }

private:
    /// Invariant: `order` lists exactly the members of `harmless`, oldest first.
    std::unordered_set<std::uint64_t> harmless;
    std::deque<std::uint64_t> order;
};

} // namespace

static const PluginRegistration<CanaryPolicy, NoCanary> NO_CANARY("none");
static const PluginRegistration<CanaryPolicy, UnknownContentCanary> UNKNOWN_CONTENT_CANARY("unknown-content");

} // namespace ragwort
