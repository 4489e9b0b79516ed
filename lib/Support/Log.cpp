/// \file
/// Implementation of structured logging with log4cxx.
#include "ragwortcart/Support/Log.h"

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cctype>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <utility>

namespace ragwort {

/// Limits for lines below level warning, per process.
static constexpr int MAXIMUM_REQUEST_LINES_PER_SECOND = 400;
static constexpr int MAXIMUM_OTHER_LINES_PER_SECOND = 400;
/// Capacity of the queue to the appender. Further lines are dropped, so that a slow reader of the log blocks no thread.
static constexpr int QUEUE_CAPACITY_LINES = 1024;

static std::string escapeValue(std::string_view value)
{
    bool quoted = value.empty();
    std::string escaped;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            escaped += '\\';
            escaped += character;
            quoted = true;
        } else if (std::iscntrl(byte) != 0) {
            escaped += '?';
            quoted = true;
        } else {
            escaped += character;
            quoted = quoted || character == ' ' || character == '=';
        }
    }
    return quoted ? '"' + escaped + '"' : escaped;
}

std::string formatLogFields(std::span<const LogField> fields)
{
    std::string line;
    for (const LogField &field : fields) {
        if (!line.empty()) {
            line += ' ';
        }
        line += field.key;
        line += '=';
        line += escapeValue(field.value);
    }
    return line;
}

static log4cxx::LoggerPtr rootLogger()
{
    return log4cxx::Logger::getLogger("ragwort");
}

static log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::debug:
        return log4cxx::Level::getDebug();
    case LogLevel::info:
        return log4cxx::Level::getInfo();
    case LogLevel::warning:
        return log4cxx::Level::getWarn();
    case LogLevel::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

void initializeLog(std::string_view process, std::string_view instance, LogLevel threshold, LogTarget target)
{
    const std::string pattern
        = "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p process=" + std::string(process) + " instance=" + escapeValue(instance) + " thread=%t %m%n";
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const bool toOutput = target == LogTarget::standardOutput;
    const auto console
        = std::make_shared<log4cxx::ConsoleAppender>(layout, toOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBlocking(false);
    queue->setBufferSize(QUEUE_CAPACITY_LINES);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
    rootLogger()->setLevel(toLog4cxx(threshold));
}

void LogRateLimiter::startSecond(std::int64_t second)
{
    this->currentSecond = second;
    this->written = 0;
}

bool LogRateLimiter::admit(std::int64_t second, std::uint64_t &suppressedBefore)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    suppressedBefore = 0;
    if (second != this->currentSecond) {
        this->startSecond(second);
        suppressedBefore = std::exchange(this->suppressed, 0);
    }
    if (this->written >= this->maximum) {
        ++this->suppressed;
        return false;
    }
    ++this->written;
    return true;
}

/// Returns false if \p limiter suppresses the line. Reports the lines suppressed in earlier seconds, if there are any.
static bool admitLine(const log4cxx::LoggerPtr &logger, LogLevel level, LogRateLimiter &limiter)
{
    if (level == LogLevel::warning || level == LogLevel::error) {
        return true;
    }
    std::uint64_t suppressed = 0;
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(steadyNow().time_since_epoch()).count();
    const bool admitted = limiter.admit(second, suppressed);
    if (suppressed > 0) {
        logger->forcedLog(
            log4cxx::Level::getWarn(), "event=log-suppressed lines=" + std::to_string(suppressed), log4cxx::spi::LocationInfo::getLocationUnavailable());
    }
    return admitted;
}

static void writeLine(LogLevel level, std::string_view event, std::span<const LogField> fields, LogRateLimiter &limiter)
{
    const log4cxx::LoggerPtr logger = rootLogger();
    const log4cxx::LevelPtr target = toLog4cxx(level);
    if (!logger->isEnabledFor(target) || !admitLine(logger, level, limiter)) {
        return;
    }
    std::string line = "event=" + std::string(event);
    if (!fields.empty()) {
        line += ' ' + formatLogFields(fields);
    }
    logger->forcedLog(target, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    static LogRateLimiter limiter(MAXIMUM_OTHER_LINES_PER_SECOND);
    writeLine(level, event, fields, limiter);
}

void logRequestEvent(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    static LogRateLimiter limiter(MAXIMUM_REQUEST_LINES_PER_SECOND);
    writeLine(level, event, fields, limiter);
}

} // namespace ragwort
