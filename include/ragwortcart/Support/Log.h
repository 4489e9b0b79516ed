/// \file
/// Structured logging with log4cxx. Each event is one line of key=value pairs.
#ifndef RAGWORTCART_SUPPORT_LOG_H
#define RAGWORTCART_SUPPORT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace ragwort {

enum class LogLevel { debug, info, warning, error };

struct LogField
{
    std::string_view key;
    std::string value;
};

enum class LogTarget { standardError, standardOutput };

/// Configures logging for the process. \p process and \p instance appear in every line. Lines are written by a separate thread
/// and dropped if its queue is full.
void initializeLog(std::string_view process, std::string_view instance, LogLevel threshold, LogTarget target = LogTarget::standardError);

/// Writes `event=EVENT key=value ...`. Empty values and values with spaces, equals signs, quotation marks, backslashes or
/// control characters are quoted; quotation marks and backslashes are escaped, and control characters become `?`. A rate limit
/// applies to lines below level warning.
void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);

/// Like `logEvent()`, for lines that concern a single request. Their number grows with the load, so they have a rate limit of
/// their own and suppress no other lines.
void logRequestEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);

inline void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

inline void logRequestEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logRequestEvent(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

/// Limits the number of log lines per second and counts the suppressed lines. Thread-safe.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(int maximumPerSecond) : maximum(maximumPerSecond)
    {
    }

    /// Returns whether one more line may be written in \p second. Sets \p suppressedBefore to the number of suppressed lines of
    /// earlier seconds that no previous call has reported.
    bool admit(std::int64_t second, std::uint64_t &suppressedBefore);

private:
    void startSecond(std::int64_t second);

    std::mutex mutex;
    const int maximum;
    std::int64_t currentSecond = 0;
    int written = 0;
    std::uint64_t suppressed = 0;
};

/// Formats \p fields as in a log line. Exposed for tests.
std::string formatLogFields(std::span<const LogField> fields);

} // namespace ragwort

#endif
