/// \file
/// Read-copy-update for values that are read on every request and replaced seldom.
///
/// `std::atomic<std::shared_ptr>` of libstdc++ 12 releases its internal lock bit with relaxed order on load, which
/// ThreadSanitizer reports; a version counter with a per-thread cache needs no lock on the read path either.
#ifndef RAGWORTCART_SUPPORT_PUBLISHED_H
#define RAGWORTCART_SUPPORT_PUBLISHED_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace ragwort {

/// Holds the current immutable version of a value. Any thread may publish.
template <typename Value>
class Published
{
public:
    using Pointer = std::shared_ptr<const Value>;

    explicit Published(Pointer initial) : value(std::move(initial))
    {
    }

    /// Replaces the value; readers see it at their next `Reader::get()`.
    void publish(Pointer next)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->value = std::move(next);
        this->version.fetch_add(1, std::memory_order_release);
    }

    /// Takes the current value under the lock; for threads that read seldom.
    Pointer load() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->value;
    }

    /// A reader owned by one thread. `get()` is one atomic load while nothing has changed.
    class Reader
    {
    public:
        explicit Reader(const Published &published) : source(&published)
        {
        }

        const Pointer &get()
        {
            const std::uint64_t current = this->source->version.load(std::memory_order_acquire);
            if (current != this->cachedVersion || !this->cached) {
                this->cached = this->source->load();
                this->cachedVersion = current;
            }
            return this->cached;
        }

    private:
        const Published *source;
        Pointer cached;
        std::uint64_t cachedVersion = 0;
    };

private:
    mutable std::mutex mutex;
    Pointer value;
    std::atomic<std::uint64_t> version{1};
};

} // namespace ragwort

#endif
