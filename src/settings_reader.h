// Reads TOML settings as described by a table of fields, and reports all errors at once.
//
// Each program describes its settings as a field_table over its own struct; the rules
// for units, ranges and required keys are common to all programs.
#pragma once

#include "settings_fault.h"
#include "toml_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

namespace detail {

    constexpr std::int64_t kibi = 1024;
    constexpr std::int64_t mebi = 1024 * kibi;
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t msPerMinute = 60 * msPerSecond;
    constexpr std::int64_t msPerHour = 60 * msPerMinute;
    constexpr std::int64_t msPerDay = 24 * msPerHour;

    enum class field_kind {
        Text,
        Address, // IP:port
        Url,
        UrlList,
        AddressList, // may be empty
        Decimal, // a number, whole or not
        TextMap, // a table of texts; may be empty
        Count,
        Size, // "64 KiB"
        Time, // "250ms"
        Percent, // "2.5%", stored in hundredths of a percent
        Level,
    };

    // One setting: its key, the allowed values and where to store the value.
    template <typename Settings>
    struct field {
        const char* section;
        const char* key;
        field_kind kind;
        bool required;
        std::int64_t minimum; // number, count, bytes, milliseconds or hundredths of a percent
        std::int64_t maximum;
        // Where to store the value; only the one for the field's kind is set.
        std::function<std::string&(Settings&)> text;
        std::function<std::int64_t&(Settings&)> number;
        std::function<std::chrono::milliseconds&(Settings&)> time;
        std::function<std::vector<std::string>&(Settings&)> list;
        std::function<std::map<std::string, std::string>&(Settings&)> textMap {};
        std::function<double&(Settings&)> decimal {};
    };

    template <typename Settings>
    using field_table = std::vector<field<Settings>>;

    template <typename Settings>
    field<Settings> textField(const char* section, const char* key, field_kind kind, bool required, std::function<std::string&(Settings&)> where)
    {
        return { section, key, kind, required, 0, 0, std::move(where), {}, {}, {} };
    }

    template <typename Settings>
    field<Settings> numberField(const char* section, const char* key, field_kind kind, std::int64_t minimum, std::int64_t maximum, std::function<std::int64_t&(Settings&)> where)
    {
        return { section, key, kind, false, minimum, maximum, {}, std::move(where), {}, {} };
    }

    template <typename Settings>
    field<Settings> timeField(const char* key, std::int64_t minimum, std::int64_t maximum, std::function<std::chrono::milliseconds&(Settings&)> where, const char* section = "timing")
    {
        return { section, key, field_kind::Time, false, minimum, maximum, {}, {}, std::move(where), {} };
    }

    template <typename Settings>
    field<Settings> textMapField(const char* section, const char* key, std::function<std::map<std::string, std::string>&(Settings&)> where)
    {
        return { section, key, field_kind::TextMap, false, 0, 0, {}, {}, {}, {}, std::move(where), {} };
    }

    template <typename Settings>
    field<Settings> decimalField(const char* section, const char* key, std::int64_t minimum, std::int64_t maximum, std::function<double&(Settings&)> where)
    {
        return { section, key, field_kind::Decimal, false, minimum, maximum, {}, {}, {}, {}, {}, std::move(where) };
    }

    struct unit {
        std::string_view name;
        std::int64_t factor;
    };
    constexpr unit timeUnits[] = { { "ms", 1 }, { "s", msPerSecond }, { "min", msPerMinute }, { "h", msPerHour } };
    constexpr unit sizeUnits[] = { { "B", 1 }, { "KiB", kibi }, { "MiB", mebi } };

    // Parses a number with a unit, such as "250ms" or "64 KiB"; empty if it is malformed.
    template <std::size_t N>
    std::optional<std::int64_t> parseQuantity(std::string_view text, const unit (&units)[N])
    {
        std::size_t digits = 0;
        while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9')
            ++digits;
        constexpr std::size_t maxDigits = 12;
        if (digits == 0 || digits > maxDigits)
            return std::nullopt;
        const auto number = std::stoll(std::string(text.substr(0, digits)));
        auto rest = text.substr(digits);
        while (!rest.empty() && rest.front() == ' ')
            rest.remove_prefix(1);
        for (const auto& u : units) {
            if (rest == u.name)
                return number * u.factor;
        }
        return std::nullopt;
    }

    // Parses a percentage with at most two decimals, such as "2.5%", in hundredths of a percent;
    // empty if it is malformed.
    inline std::optional<std::int64_t> parsePercent(std::string_view text)
    {
        if (!text.ends_with('%'))
            return std::nullopt;
        text.remove_suffix(1);
        const auto point = text.find('.');
        const auto whole = text.substr(0, point);
        auto decimals = std::string(point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1));
        constexpr std::size_t maxDigits = 6;
        constexpr std::size_t maxDecimals = 2;
        const auto isNumber = [](std::string_view digits) { return !digits.empty() && digits.find_first_not_of("0123456789") == std::string_view::npos; };
        if (!isNumber(whole) || whole.size() > maxDigits || !isNumber(decimals) || decimals.size() > maxDecimals)
            return std::nullopt;
        decimals.resize(maxDecimals, '0');
        return std::stoll(std::string(whole) + decimals);
    }

    inline std::string percentText(std::int64_t hundredths)
    {
        const auto decimals = std::to_string(hundredths % 100);
        return std::to_string(hundredths / 100) + (hundredths % 100 == 0 ? "" : "." + (decimals.size() < 2 ? "0" + decimals : decimals)) + "%";
    }

    inline bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return false;
        in_addr ignored {};
        if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ignored) != 1)
            return false;
        const auto port = text.substr(colon + 1);
        constexpr std::size_t maxPortDigits = 5;
        constexpr int maxPort = 65535;
        if (port.empty() || port.size() > maxPortDigits || port.find_first_not_of("0123456789") != std::string::npos)
            return false;
        const int number = std::stoi(port);
        return number > 0 && number <= maxPort;
    }

    inline bool isUrl(const std::string& text)
    {
        return (text.rfind("http://", 0) == 0 && text.size() > 7) || (text.rfind("https://", 0) == 0 && text.size() > 8);
    }

    inline std::string timeText(std::int64_t ms)
    {
        if (ms % msPerHour == 0 && ms > 0)
            return std::to_string(ms / msPerHour) + "h";
        if (ms % msPerSecond == 0 && ms > 0)
            return std::to_string(ms / msPerSecond) + "s";
        return std::to_string(ms) + "ms";
    }

    inline std::string sizeText(std::int64_t bytes)
    {
        return bytes % mebi == 0 ? std::to_string(bytes / mebi) + " MiB" : std::to_string(bytes / kibi) + " KiB";
    }

    // Describes the values that the field accepts, for messages.
    template <typename Settings>
    std::string expectation(const field<Settings>& f)
    {
        switch (f.kind) {
        case field_kind::Text:
            return "a text that is not empty";
        case field_kind::Address:
            return "a text \"IP:port\" with an IP number and a port from 1 to 65535";
        case field_kind::Url:
            return "a URL that starts with http:// or https://";
        case field_kind::UrlList:
            return "a list of one or more URLs that start with http:// or https://";
        case field_kind::AddressList:
            return "a list of texts \"IP:port\"";
        case field_kind::Decimal:
            return "a number from " + std::to_string(f.minimum) + " to " + std::to_string(f.maximum);
        case field_kind::TextMap:
            return "a table whose values are texts that are not empty";
        case field_kind::Count:
            return "a whole number from " + std::to_string(f.minimum) + " to " + std::to_string(f.maximum);
        case field_kind::Size:
            return "a size with unit B, KiB or MiB from " + sizeText(f.minimum) + " to " + sizeText(f.maximum) + ", such as \"64 KiB\"";
        case field_kind::Time:
            return "a time with unit ms, s, min or h from " + timeText(f.minimum) + " to " + timeText(f.maximum) + ", such as \"250ms\"";
        case field_kind::Percent:
            return "a percentage from " + percentText(f.minimum) + " to " + percentText(f.maximum) + ", such as \"2.5%\"";
        case field_kind::Level:
            return "one of \"debug\", \"info\", \"warning\", \"error\"";
        }
        return {};
    }

    // Stores the value; returns false if the field doesn't accept it.
    template <typename Settings>
    bool store(const field<Settings>& f, const toml::node& node, Settings& out)
    {
        const auto text = node.value_exact<std::string>();
        const auto inRange = [&f](std::int64_t n) { return n >= f.minimum && n <= f.maximum; };
        switch (f.kind) {
        case field_kind::Text:
        case field_kind::Address:
        case field_kind::Url:
        case field_kind::Level: {
            if (!text || text->empty())
                return false;
            if (f.kind == field_kind::Address && !isAddress(*text))
                return false;
            if (f.kind == field_kind::Url && !isUrl(*text))
                return false;
            if (f.kind == field_kind::Level && *text != "debug" && *text != "info" && *text != "warning" && *text != "error")
                return false;
            f.text(out) = *text;
            return true;
        }
        case field_kind::UrlList:
        case field_kind::AddressList: {
            const bool urls = f.kind == field_kind::UrlList;
            const auto* array = node.as_array();
            if (array == nullptr || (urls && array->empty()))
                return false;
            std::vector<std::string> texts;
            for (const auto& item : *array) {
                const auto one = item.value_exact<std::string>();
                if (!one || !(urls ? isUrl(*one) : isAddress(*one)))
                    return false;
                texts.push_back(*one);
            }
            f.list(out) = std::move(texts);
            return true;
        }
        case field_kind::Decimal: {
            const auto number = node.value<double>();
            const bool isInRange = number && node.is_number() && *number >= static_cast<double>(f.minimum) && *number <= static_cast<double>(f.maximum);
            if (!isInRange)
                return false;
            f.decimal(out) = *number;
            return true;
        }
        case field_kind::TextMap: {
            const auto* entries = node.as_table();
            if (entries == nullptr)
                return false;
            std::map<std::string, std::string> texts;
            for (const auto& [name, item] : *entries) {
                const auto one = item.template value_exact<std::string>();
                if (!one || one->empty())
                    return false;
                texts.emplace(name.str(), *one);
            }
            f.textMap(out) = std::move(texts);
            return true;
        }
        case field_kind::Count: {
            const auto number = node.value_exact<std::int64_t>();
            if (!number || !inRange(*number))
                return false;
            f.number(out) = *number;
            return true;
        }
        case field_kind::Size: {
            const auto bytes = text ? parseQuantity(*text, sizeUnits) : std::nullopt;
            if (!bytes || !inRange(*bytes))
                return false;
            f.number(out) = *bytes;
            return true;
        }
        case field_kind::Time: {
            const auto ms = text ? parseQuantity(*text, timeUnits) : std::nullopt;
            if (!ms || !inRange(*ms))
                return false;
            f.time(out) = std::chrono::milliseconds(*ms);
            return true;
        }
        case field_kind::Percent: {
            const auto hundredths = text ? parsePercent(*text) : std::nullopt;
            if (!hundredths || !inRange(*hundredths))
                return false;
            f.number(out) = *hundredths;
            return true;
        }
        }
        return false;
    }

    template <typename Settings>
    const field<Settings>* findField(const field_table<Settings>& fields, std::string_view section, std::string_view key)
    {
        for (const auto& f : fields) {
            if (f.section == section && f.key == key)
                return &f;
        }
        return nullptr;
    }

    template <typename Settings>
    bool isSection(const field_table<Settings>& fields, std::string_view name)
    {
        return std::any_of(fields.begin(), fields.end(), [name](const field<Settings>& f) { return f.section == name; });
    }

    inline settings_fault faultAt(const std::string& file, const toml::source_region& where, std::string message)
    {
        return { file, where.begin.line, where.begin.column, std::move(message) };
    }

    template <typename Settings>
    void readSection(const field_table<Settings>& fields, const std::string& file, std::string_view section, const toml::table& table, reading_of<Settings>& out)
    {
        for (const auto& [key, node] : table) {
            const std::string name = std::string(section) + "." + std::string(key.str());
            const auto* f = findField(fields, section, key.str());
            if (f == nullptr) {
                out.faults.push_back(faultAt(file, key.source(), "unknown key " + name));
                continue;
            }
            if (!store(*f, node, out.value))
                out.faults.push_back(faultAt(file, node.source(), name + ": expected " + expectation(*f)));
        }
    }

    template <typename Settings>
    void checkRequired(const field_table<Settings>& fields, const std::string& file, const toml::table& root, reading_of<Settings>& out)
    {
        for (const auto& f : fields) {
            if (!f.required)
                continue;
            const auto* section = root[f.section].as_table();
            if (section != nullptr && section->contains(f.key))
                continue;
            const std::uint32_t line = section == nullptr ? 0 : section->source().begin.line;
            const std::uint32_t column = section == nullptr ? 0 : section->source().begin.column;
            out.faults.push_back({ file, line, column, "missing key " + std::string(f.section) + "." + f.key + ": expected " + expectation(f) });
        }
    }

} // namespace detail

// Reads and checks TOML text; `file` is only used in messages. `checkTogether` checks
// rules that involve several settings, and is called only if each value is valid by itself.
template <typename Settings, typename Check>
reading_of<Settings> readByTable(const detail::field_table<Settings>& fields, std::string_view text, const std::string& file, Check checkTogether)
{
    reading_of<Settings> out;
    const auto parsed = parseToml(text);
    if (!parsed) {
        out.faults.push_back({ file, parsed.error().line, parsed.error().column, "not TOML: " + parsed.error().what });
        return out;
    }
    const toml::table& root = *parsed;

    // Step 1. Check and store each section and key.
    for (const auto& [name, node] : root) {
        if (!detail::isSection(fields, name.str())) {
            out.faults.push_back(detail::faultAt(file, name.source(), "unknown section " + std::string(name.str())));
            continue;
        }
        if (!node.is_table()) {
            out.faults.push_back(detail::faultAt(file, node.source(), std::string(name.str()) + ": expected a table"));
            continue;
        }
        detail::readSection(fields, file, name.str(), *node.as_table(), out);
    }

    // Step 2. Check that all required keys are present.
    detail::checkRequired(fields, file, root, out);

    // Step 3. Check rules that involve several settings, if each value is valid by itself.
    if (out.faults.empty())
        checkTogether(file, out);

    std::stable_sort(out.faults.begin(), out.faults.end(), [](const settings_fault& a, const settings_fault& b) {
        return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    return out;
}

} // namespace lovagerail
