/// \file
/// Checked reading of INI settings: every fault is collected with file, line, key, what was found and what is allowed.
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

struct SettingsFault
{
    std::string file;
    /// Line of the key, or of its section when the key is missing; 0 when neither is in the file.
    int line = 0;
    std::string key;
    std::string found;
    std::string allowed;

    std::string describe() const;
};

struct IntegerRule
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Used when the key is absent; a key without fallback is required.
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
    /// When not empty, the only values allowed.
    std::vector<std::string> choices;
};

/// One INI file. Reading functions record faults and return a harmless value, so that all faults show in one run.
class Settings
{
public:
    static Settings fromFile(const std::string &path);
    static Settings fromText(const std::string &name, const std::string &text);

    std::int64_t integer(const std::string &section, const std::string &key, const IntegerRule &rule);
    /// Durations carry a unit: `us`, `ms`, `s`, `min` or `h`.
    Duration duration(const std::string &section, const std::string &key, const DurationRule &rule);
    /// Sizes in bytes carry a unit: `B`, `KiB` or `MiB`.
    std::int64_t size(const std::string &section, const std::string &key, const IntegerRule &rule);
    /// A percentage with its sign, for example `3%`; returned as a fraction.
    double percentage(const std::string &section, const std::string &key, std::optional<double> fallback);
    std::string text(const std::string &section, const std::string &key, const TextRule &rule = {});
    /// A comma-separated list; an absent key is an empty list.
    std::vector<std::string> list(const std::string &section, const std::string &key);
    /// `IPv4:port` or `[IPv6]:port`, by number.
    std::string address(const std::string &section, const std::string &key, const std::optional<std::string> &fallback = std::nullopt);

    bool hasSection(const std::string &section) const;
    bool hasKey(const std::string &section, const std::string &key) const;
    /// Names of the sections that start with \p prefix, in the order of the file.
    std::vector<std::string> sectionsWithPrefix(std::string_view prefix) const;
    int lineOf(const std::string &section, const std::string &key) const;

    void addFault(const std::string &section, const std::string &key, const std::string &found, const std::string &allowed);

    /// All faults, among them every key and section that was in the file but never read.
    std::vector<SettingsFault> finish();

private:
    struct Entry
    {
        std::string value;
        int line = 0;
        bool used = false;
    };

    std::optional<std::string> take(const std::string &section, const std::string &key, bool required, const std::string &allowed);
    void parse(const std::string &text);

    std::string file;
    std::vector<std::string> sectionOrder;
    std::map<std::string, int> sectionLines;
    std::map<std::string, std::map<std::string, Entry>> entries;
    std::vector<SettingsFault> faults;
};

/// Splits a number from its unit and scales it; nothing when either is not understood.
std::optional<Duration> parseDuration(std::string_view text);
std::optional<std::int64_t> parseSize(std::string_view text);

} // namespace ragwort

#endif
