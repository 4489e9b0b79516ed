#include "ragwortcart/Support/Settings.h"

#include <gtest/gtest.h>

namespace ragwort {

static const char *const TEXT = "[a]\n"
                                "wait = 30\n"
                                "count = 99\n"
                                "listen = localhost:80\n"
                                "surplus = 1\n"
                                "\n"
                                "[b]\n"
                                "size = 4KiB\n";

TEST(SettingsTest, reportsEachErrorWithLineKeyFoundAndAllowedValue)
{
    Settings settings = Settings::fromText("file.ini", TEXT);
    settings.duration("a", "wait", {.minimum = Duration(1), .maximum = std::chrono::seconds(60)});
    settings.integer("a", "count", {.minimum = 1, .maximum = 10});
    settings.address("a", "listen");
    settings.text("b", "name");
    EXPECT_EQ(settings.size("b", "size", {.minimum = 1, .maximum = 10'000}), 4096);
    const std::vector<SettingsError> errors = settings.finish();
    ASSERT_EQ(errors.size(), 5U);
    EXPECT_EQ(errors[0].describe(), "file.ini:2: a.wait: found '30', allowed: a duration with unit (us, ms, s, min, h) from 1us to 60000000us");
    EXPECT_EQ(errors[1].describe(), "file.ini:3: a.count: found '99', allowed: an integer from 1 to 10");
    EXPECT_EQ(errors[2].line, 4);
    EXPECT_EQ(errors[3].describe(), "file.ini:5: a.surplus: found unknown key, allowed: only documented keys");
    EXPECT_EQ(errors[4].describe(), "file.ini:7: b.name: found nothing, allowed: a non-empty string");
}

TEST(SettingsTest, reportsDuplicateKeysAndUnreadableFiles)
{
    EXPECT_EQ(Settings::fromText("f", "[a]\nx = 1\nx = 2\n").finish().size(), 1U);
    EXPECT_EQ(Settings::fromFile("/nonexistent/file.ini").finish().size(), 1U);
}

TEST(SettingsTest, parsesUnitsAndRejectsInvalidNumbers)
{
    EXPECT_EQ(parseDuration("6ms"), Duration(6000));
    EXPECT_EQ(parseDuration("2 min"), Duration(120'000'000));
    EXPECT_FALSE(parseDuration("6"));
    EXPECT_FALSE(parseDuration("6 parsecs"));
    EXPECT_FALSE(parseDuration("-6ms"));
    EXPECT_FALSE(parseDuration("99999999999999999999h"));
    EXPECT_FALSE(parseDuration("9223372036854775807h"));
    EXPECT_EQ(parseSize("3MiB"), 3 * 1024 * 1024);
}

TEST(SettingsTest, rejectsPercentagesWithoutSignOrOutOfRange)
{
    Settings settings = Settings::fromText("f", "[a]\nx = 3%\ny = 3\nz = 101%\n");
    EXPECT_DOUBLE_EQ(settings.percentage("a", "x", std::nullopt), 0.03);
    settings.percentage("a", "y", std::nullopt);
    settings.percentage("a", "z", std::nullopt);
    EXPECT_EQ(settings.finish().size(), 2U);
}

} // namespace ragwort
