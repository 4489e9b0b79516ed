/// \file
/// Validated reading of INI files. Each error records the file, line and key, the value found and the values allowed.
#ifndef RAGWORTCART_SUPPORT_SETTINGS_H
#define RAGWORTCART_SUPPORT_SETTINGS_H

#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

struct SettingsError
{
    std::string file;
    /// Line of the key, or of its section if the key is missing; 0 if the file has neither.
    int line = 0;
    std::string key;
    std::string found;
    std::string allowed;

    /// Returns all members as one line of text.
    std::string describe() const;
};

struct IntegerRule
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Value of an absent key. A key without a fallback is required.
    std::optional<std::int64_t> fallback;
};

struct DurationRule
{
    Duration minimum{};
    Duration maximum{};
    std::optional<Duration> fallback;
};

struct TextRule
{
    std::optional<std::string> fallback;
    /// The allowed values; empty if every value is allowed.
    std::vector<std::string> choices;
};

/// One INI file. On an error, the reading functions record it and return a placeholder value, so that one run reports all errors.
class Settings
{
public:
    static Settings fromFile(const std::string &path);
    static Settings fromText(const std::string &name, const std::string &text);

    std::int64_t integer(const std::string &section, const std::string &key, const IntegerRule &rule);
    /// Reads a duration with a unit: `us`, `ms`, `s`, `min` or `h`.
    Duration duration(const std::string &section, const std::string &key, const DurationRule &rule);
    /// Reads a size with a unit, `B`, `KiB` or `MiB`, and returns it in bytes. The limits of \p rule are in bytes.
    std::int64_t size(const std::string &section, const std::string &key, const IntegerRule &rule);
    /// Reads an integer percentage with the percent sign, for example `3%`, and returns it as a fraction.
    double percentage(const std::string &section, const std::string &key, std::optional<double> fallback);
    std::string text(const std::string &section, const std::string &key, const TextRule &rule = {});
    /// Reads a comma-separated list. An absent key yields an empty list.
    std::vector<std::string> list(const std::string &section, const std::string &key);
    /// Reads `IPv4:port` or `[IPv6]:port`; host names are not allowed.
    std::string address(const std::string &section, const std::string &key, const std::optional<std::string> &fallback = std::nullopt);

    bool hasSection(const std::string &section) const;
    bool hasKey(const std::string &section, const std::string &key) const;
    /// Returns the names of the sections that start with \p prefix, in file order.
    std::vector<std::string> sectionsWithPrefix(std::string_view prefix) const;
    /// Returns the line number as defined by `SettingsError::line`.
    int lineOf(const std::string &section, const std::string &key) const;

    void addError(const std::string &section, const std::string &key, const std::string &found, const std::string &allowed);

    /// Returns all errors, in the order of their lines. Each key of the file that was never read is an error.
    std::vector<SettingsError> finish();

private:
    struct Entry
    {
        std::string value;
        int line = 0;
        bool used = false;
    };

    std::optional<std::string> readValue(const std::string &section, const std::string &key, bool required, const std::string &allowed);
    void parse(const std::string &text);

    std::string file;
    std::vector<std::string> sectionOrder;
    std::map<std::string, int> sectionLines;
    std::map<std::string, std::map<std::string, Entry>> entries;
    std::vector<SettingsError> errors;
};

/// Parses a non-negative integer with a unit as listed at `Settings::duration()`. Returns nothing on a missing number, a missing or
/// unknown unit, or an overflow.
std::optional<Duration> parseDuration(std::string_view text);
/// Parses a size in the same way, with the units listed at `Settings::size()`.
std::optional<std::int64_t> parseSize(std::string_view text);

} // namespace ragwort

#endif
