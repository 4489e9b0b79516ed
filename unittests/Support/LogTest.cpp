#include "ragwortcart/Support/Log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace ragwort {

static std::string format(std::initializer_list<LogField> fields)
{
    return formatLogFields(std::span<const LogField>(fields.begin(), fields.size()));
}

TEST(LogTest, separatesFieldsWithSpaces)
{
    EXPECT_EQ(format({{.key = "a", .value = "1"}, {.key = "b", .value = "two"}}), "a=1 b=two");
}

TEST(LogTest, quotesAndEscapesSpecialCharacters)
{
    EXPECT_EQ(format({{.key = "a", .value = "x y"}}), "a=\"x y\"");
    EXPECT_EQ(format({{.key = "a", .value = "say \"hi\""}}), "a=\"say \\\"hi\\\"\"");
    EXPECT_EQ(format({{.key = "a", .value = "line\nbreak=1"}}), "a=\"line?break=1\"");
    EXPECT_EQ(format({{.key = "a", .value = ""}}), "a=\"\"");
}

TEST(LogRateLimiterTest, countsSuppressedLinesAndReportsThemInTheNextSecond)
{
    LogRateLimiter limiter(3);
    std::uint64_t suppressed = 0;
    int admitted = 0;
    for (int line = 0; line < 10; ++line) {
        admitted += limiter.admit(1, suppressed) ? 1 : 0;
        EXPECT_EQ(suppressed, 0U);
    }
    EXPECT_EQ(admitted, 3);
    EXPECT_TRUE(limiter.admit(2, suppressed));
    EXPECT_EQ(suppressed, 7U);
    EXPECT_TRUE(limiter.admit(2, suppressed));
    EXPECT_EQ(suppressed, 0U);
}

/// Guards against the incident of a confirmed configuration that was late: under load the lines that record what an instance
/// believes were suppressed beside those of requests.
TEST(LogTest, linesOfRequestsDoNotSuppressOtherLines)
{
    static constexpr int REQUEST_LINES = 1000;
    testing::internal::CaptureStderr();
    initializeLog("LogTest", "entry-0", LogLevel::info);
    for (int line = 0; line < REQUEST_LINES; ++line) {
        logRequestEvent(LogLevel::info, "answer", {{.key = "request", .value = std::to_string(line)}});
    }
    logEvent(LogLevel::info, "routes-in-force", {{.key = "version", .value = "7"}});
    // Closes the appender, which writes the lines that are still queued.
    initializeLog("LogTest", "entry-0", LogLevel::info);
    const std::string output = testing::internal::GetCapturedStderr();
    EXPECT_NE(output.find("event=routes-in-force version=7"), std::string::npos);
}

/// Names of entries, header values of servers and request ids come from outside, in any octets. A line that holds some neither breaks nor hides another.
TEST(LogTest, writesValuesOfAnyOctetsOnOneLineEach)
{
    testing::internal::CaptureStderr();
    initializeLog("LogTest", "entry-0", LogLevel::info);
    const std::vector<std::string> values
        = {"a%m%n%d", "a\r\nevent=forged", "\xff\xfe", "\xc3", "\xed\xa0\x80", "é", std::string("a\0b", 3), "\x80\x80", "\xf4\x90\x80\x80", "\u2028"};
    for (std::size_t index = 0; index < values.size(); ++index) {
        logEvent(LogLevel::warning, "entry-unreadable", {{.key = "key", .value = values[index]}, {.key = "number", .value = std::to_string(index)}});
    }
    // Closes the appender, which writes the lines that are still queued.
    initializeLog("LogTest", "entry-0", LogLevel::info);
    const std::string output = testing::internal::GetCapturedStderr();
    EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), static_cast<std::ptrdiff_t>(values.size())) << output;
    for (std::size_t index = 0; index < values.size(); ++index) {
        EXPECT_NE(output.find(" number=" + std::to_string(index) + '\n'), std::string::npos) << index << '\n' << output;
    }
}

} // namespace ragwort
