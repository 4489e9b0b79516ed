#include "ragwortcart/Support/Log.h"

#include <gtest/gtest.h>
#include <string>

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

} // namespace ragwort
