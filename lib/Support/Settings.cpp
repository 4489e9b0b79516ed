/// \file
/// Validated reading of INI files. Boost.PropertyTree parses the format; a second scan of the text finds the line numbers, which
/// the parser does not keep.
#include "ragwortcart/Support/Settings.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <span>
#include <sstream>

namespace ragwort {

std::string SettingsError::describe() const
{
    return this->file + ':' + std::to_string(this->line) + ": " + this->key + ": found " + this->found + ", allowed: " + this->allowed;
}

Settings Settings::fromFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        Settings settings;
        settings.file = path;
        settings.errors.push_back({.file = path, .line = 0, .key = "(file)", .found = "unreadable file", .allowed = "a readable INI file"});
        return settings;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return fromText(path, text.str());
}

Settings Settings::fromText(const std::string &name, const std::string &text)
{
    Settings settings;
    settings.file = name;
    settings.parse(text);
    return settings;
}

void Settings::parse(const std::string &text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::ini_parser::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        this->errors.push_back({.file = this->file,
                                .line = static_cast<int>(error.line()),
                                .key = "(syntax)",
                                .found = error.message(),
                                .allowed = "[section] and key = value lines, each key once"});
        return;
    }
    for (const auto &[section, keys] : tree) {
        for (const auto &[key, value] : keys) {
            this->entries[section][key] = Entry{.value = value.data()};
        }
    }
    std::istringstream lines(text);
    std::string line;
    std::string section;
    for (int number = 1; std::getline(lines, line); ++number) {
        boost::trim(line);
        if (line.size() > 1 && line.front() == '[') {
            section = boost::trim_copy(line.substr(1, line.find(']') - 1));
            this->sectionLines.emplace(section, number);
            this->sectionOrder.push_back(section);
            continue;
        }
        const std::size_t equals = line.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        const auto found = this->entries.find(section);
        if (found == this->entries.end()) {
            continue;
        }
        const auto entry = found->second.find(boost::trim_copy(line.substr(0, equals)));
        if (entry != found->second.end()) {
            entry->second.line = number;
        }
    }
}

int Settings::lineOf(const std::string &section, const std::string &key) const
{
    const auto found = this->entries.find(section);
    if (found != this->entries.end()) {
        const auto entry = found->second.find(key);
        if (entry != found->second.end()) {
            return entry->second.line;
        }
    }
    const auto line = this->sectionLines.find(section);
    return line == this->sectionLines.end() ? 0 : line->second;
}

void Settings::addError(const std::string &section, const std::string &key, const std::string &found, const std::string &allowed)
{
    this->errors.push_back({.file = this->file, .line = this->lineOf(section, key), .key = section + '.' + key, .found = found, .allowed = allowed});
}

std::optional<std::string> Settings::readValue(const std::string &section, const std::string &key, bool required, const std::string &allowed)
{
    const auto found = this->entries.find(section);
    if (found != this->entries.end()) {
        const auto entry = found->second.find(key);
        if (entry != found->second.end()) {
            entry->second.used = true;
            return entry->second.value;
        }
    }
    if (required) {
        this->addError(section, key, "nothing", allowed);
    }
    return std::nullopt;
}

static std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct UnitScale
{
    std::string_view unit;
    std::int64_t scale;
};

/// Returns the leading integer of \p text multiplied by the scale of the unit that follows it, or nothing if either is missing or
/// invalid or the product overflows.
static std::optional<std::int64_t> parseWithUnit(std::string_view text, std::span<const UnitScale> units)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    if (digits == 0 || digits == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = parseInteger(text.substr(0, digits));
    std::string_view unit = text.substr(digits);
    unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
    for (const UnitScale &candidate : units) {
        if (candidate.unit == unit) {
            std::int64_t scaled = 0;
            const bool overflow = !number || __builtin_mul_overflow(*number, candidate.scale, &scaled);
            return overflow ? std::nullopt : std::optional(scaled);
        }
    }
    return std::nullopt;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    static constexpr UnitScale UNITS[] = {{"us", 1}, {"ms", 1000}, {"s", 1000000}, {"min", 60000000}, {"h", 3600000000}};
    const std::optional<std::int64_t> value = parseWithUnit(text, UNITS);
    return value ? std::optional<Duration>(*value) : std::nullopt;
}

std::optional<std::int64_t> parseSize(std::string_view text)
{
    static constexpr UnitScale UNITS[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};
    return parseWithUnit(text, UNITS);
}

std::int64_t Settings::integer(const std::string &section, const std::string &key, const IntegerRule &rule)
{
    const std::string allowed = "an integer from " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
    const std::optional<std::string> value = this->readValue(section, key, !rule.fallback, allowed);
    if (!value) {
        return rule.fallback.value_or(rule.minimum);
    }
    const std::optional<std::int64_t> parsed = parseInteger(*value);
    if (!parsed || *parsed < rule.minimum || *parsed > rule.maximum) {
        this->addError(section, key, '\'' + *value + '\'', allowed);
        return rule.minimum;
    }
    return *parsed;
}

Duration Settings::duration(const std::string &section, const std::string &key, const DurationRule &rule)
{
    const std::string allowed
        = "a duration with unit (us, ms, s, min, h) from " + std::to_string(rule.minimum.count()) + "us to " + std::to_string(rule.maximum.count()) + "us";
    const std::optional<std::string> value = this->readValue(section, key, !rule.fallback, allowed);
    if (!value) {
        return rule.fallback.value_or(rule.minimum);
    }
    const std::optional<Duration> parsed = parseDuration(*value);
    if (!parsed || *parsed < rule.minimum || *parsed > rule.maximum) {
        this->addError(section, key, '\'' + *value + '\'', allowed);
        return rule.minimum;
    }
    return *parsed;
}

std::int64_t Settings::size(const std::string &section, const std::string &key, const IntegerRule &rule)
{
    const std::string allowed = "a size with unit (B, KiB, MiB) from " + std::to_string(rule.minimum) + "B to " + std::to_string(rule.maximum) + 'B';
    const std::optional<std::string> value = this->readValue(section, key, !rule.fallback, allowed);
    if (!value) {
        return rule.fallback.value_or(rule.minimum);
    }
    const std::optional<std::int64_t> parsed = parseSize(*value);
    if (!parsed || *parsed < rule.minimum || *parsed > rule.maximum) {
        this->addError(section, key, '\'' + *value + '\'', allowed);
        return rule.minimum;
    }
    return *parsed;
}

double Settings::percentage(const std::string &section, const std::string &key, std::optional<double> fallback)
{
    static const std::string ALLOWED = "an integer percentage from 0% to 100%, including the % sign";
    const std::optional<std::string> value = this->readValue(section, key, !fallback, ALLOWED);
    if (!value) {
        return fallback.value_or(0.0);
    }
    const bool hasSign = !value->empty() && value->back() == '%';
    const std::optional<std::int64_t> parsed = hasSign ? parseInteger(std::string_view(*value).substr(0, value->size() - 1)) : std::nullopt;
    if (!parsed || *parsed < 0 || *parsed > 100) {
        this->addError(section, key, '\'' + *value + '\'', ALLOWED);
        return 0.0;
    }
    return static_cast<double>(*parsed) / 100.0;
}

std::string Settings::text(const std::string &section, const std::string &key, const TextRule &rule)
{
    const std::string allowed = rule.choices.empty() ? "a non-empty string" : "one of " + boost::join(rule.choices, ", ");
    const std::optional<std::string> value = this->readValue(section, key, !rule.fallback, allowed);
    if (!value) {
        return rule.fallback.value_or(std::string());
    }
    const bool listed = rule.choices.empty() || std::find(rule.choices.begin(), rule.choices.end(), *value) != rule.choices.end();
    if (value->empty() || !listed) {
        this->addError(section, key, '\'' + *value + '\'', allowed);
    }
    return *value;
}

std::vector<std::string> Settings::list(const std::string &section, const std::string &key)
{
    const std::optional<std::string> value = this->readValue(section, key, false, "a comma-separated list");
    std::vector<std::string> items;
    if (!value || boost::trim_copy(*value).empty()) {
        return items;
    }
    boost::split(items, *value, boost::is_any_of(","));
    for (std::string &item : items) {
        boost::trim(item);
    }
    return items;
}

std::string Settings::address(const std::string &section, const std::string &key, const std::optional<std::string> &fallback)
{
    static const std::string ALLOWED = "a numeric IP address with a port, for example 127.0.0.1:8080";
    const std::optional<std::string> value = this->readValue(section, key, !fallback, ALLOWED);
    if (!value) {
        return fallback.value_or(std::string());
    }
    const std::size_t colon = value->rfind(':');
    boost::system::error_code error;
    std::optional<std::int64_t> port;
    if (colon != std::string::npos) {
        boost::asio::ip::make_address(boost::trim_copy_if(value->substr(0, colon), boost::is_any_of("[]")), error);
        port = parseInteger(std::string_view(*value).substr(colon + 1));
    }
    if (error || !port || *port < 0 || *port > 65535) {
        this->addError(section, key, '\'' + *value + '\'', ALLOWED);
    }
    return *value;
}

bool Settings::hasSection(const std::string &section) const
{
    return this->sectionLines.contains(section);
}

bool Settings::hasKey(const std::string &section, const std::string &key) const
{
    const auto found = this->entries.find(section);
    return found != this->entries.end() && found->second.contains(key);
}

std::vector<std::string> Settings::sectionsWithPrefix(std::string_view prefix) const
{
    std::vector<std::string> names;
    for (const std::string &name : this->sectionOrder) {
        if (std::string_view(name).starts_with(prefix)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<SettingsError> Settings::finish()
{
    for (const auto &[section, keys] : this->entries) {
        for (const auto &[key, entry] : keys) {
            if (!entry.used) {
                this->addError(section, key, "unknown key", "only documented keys");
            }
        }
    }
    std::stable_sort(this->errors.begin(), this->errors.end(), [](const SettingsError &left, const SettingsError &right) { return left.line < right.line; });
    return this->errors;
}

} // namespace ragwort
