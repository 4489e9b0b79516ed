/// \file
/// Structured logs: one line of key=value pairs for each event, written through log4cxx to standard error.
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

/// Configures the process's log. \p process and \p instance appear on every line.
void initializeLog(std::string_view process, std::string_view instance, LogLevel threshold, LogTarget target = LogTarget::standardError);

/// Writes `event=EVENT key=value ...`; values with spaces, quotes or control characters are quoted and escaped.
void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);

inline void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

/// Bounds the lines of one second; counts what it refuses. Any thread.
class LogLimiter
{
public:
    explicit LogLimiter(int maximumPerSecond) : maximum(maximumPerSecond)
    {
    }

    /// Whether one more line may be written in \p second; \p suppressedBefore is what earlier seconds left out and was not told.
    bool admit(std::int64_t second, std::uint64_t &suppressedBefore);

private:
    void start(std::int64_t second);

    std::mutex mutex;
    const int maximum;
    std::int64_t currentSecond = 0;
    int written = 0;
    std::uint64_t suppressed = 0;
};

/// Formats the fields as they appear in a log line; exposed for tests.
std::string formatLogFields(std::span<const LogField> fields);

} // namespace ragwort

#endif
