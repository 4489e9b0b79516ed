/// \file
/// Read-copy-update for values that are read on every request and rarely replaced.
///
/// A version counter and a cached pointer per reader avoid a lock while the value is unchanged. `std::atomic<std::shared_ptr>` of
/// libstdc++ 12 is no alternative: its load releases the internal lock bit with relaxed order, which ThreadSanitizer reports.
#ifndef RAGWORTCART_SUPPORT_RCUVALUE_H
#define RAGWORTCART_SUPPORT_RCUVALUE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace ragwort {

/// Holds the current immutable version of a value. Any thread may publish a new version.
template <typename Value>
class RcuValue
{
public:
    using Pointer = std::shared_ptr<const Value>;

    explicit RcuValue(Pointer initial) : value(std::move(initial))
    {
    }

    /// Replaces the value. Each reader returns the new value from its next `Reader::get()`.
    void publish(Pointer next)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->value = std::move(next);
        this->version.fetch_add(1, std::memory_order_release);
    }

    /// Returns the current value under the lock. Intended for threads that read rarely.
    Pointer load() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->value;
    }

    /// A reader owned by one thread. While the version is unchanged, `get()` costs one atomic load.
    class Reader
    {
    public:
        explicit Reader(const RcuValue &rcuValue) : source(&rcuValue)
        {
        }

        /// Returns the current value. The reference is valid until the next call.
        const Pointer &get()
        {
            // The version is loaded before the value, so that the cached value is never older than the cached version.
            const std::uint64_t current = this->source->version.load(std::memory_order_acquire);
            if (current != this->cachedVersion || !this->cached) {
                this->cached = this->source->load();
                this->cachedVersion = current;
            }
            return this->cached;
        }

    private:
        const RcuValue *source;
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
