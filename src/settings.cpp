// A table of all settings, and the reader that walks it.
#include "settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <functional>
#include <limits>
#include <optional>
#include <toml++/toml.h>

namespace lovagerail {

namespace {

    constexpr std::int64_t kibi = 1024;
    constexpr std::int64_t mebi = 1024 * kibi;
    constexpr std::int64_t largestBody = 64 * mebi;
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t msPerMinute = 60 * msPerSecond;
    constexpr std::int64_t msPerHour = 60 * msPerMinute;
    constexpr std::int64_t msPerDay = 24 * msPerHour;

    enum class field_kind {
        Text,
        Address, // IP:port
        Url,
        UrlList,
        Count,
        Size, // "64 KiB"
        Time, // "250ms"
        Level,
    };

    struct field {
        const char* section;
        const char* key;
        field_kind kind;
        bool required;
        std::int64_t least; // count, bytes or milliseconds
        std::int64_t most;
        // Where the value goes: the one that fits the kind is set.
        std::function<std::string&(settings&)> text;
        std::function<std::int64_t&(settings&)> number;
        std::function<std::chrono::milliseconds&(settings&)> time;
        std::function<std::vector<std::string>&(settings&)> list;
    };

    field textField(const char* section, const char* key, field_kind kind, bool required, std::function<std::string&(settings&)> where)
    {
        return { section, key, kind, required, 0, 0, std::move(where), {}, {}, {} };
    }

    field numberField(const char* section, const char* key, field_kind kind, std::int64_t least, std::int64_t most, std::function<std::int64_t&(settings&)> where)
    {
        return { section, key, kind, false, least, most, {}, std::move(where), {}, {} };
    }

    field timeField(const char* key, std::int64_t least, std::int64_t most, std::function<std::chrono::milliseconds&(settings&)> where, const char* section = "timing")
    {
        return { section, key, field_kind::Time, false, least, most, {}, {}, std::move(where), {} };
    }

    const std::vector<field>& fields()
    {
        using s = settings;
        static const std::vector<field> table {
            textField(
                "instance", "name", field_kind::Text, true, [](s & v) -> auto& { return v.instance.name; }),
            textField(
                "instance", "failure_domain", field_kind::Text, true, [](s & v) -> auto& { return v.instance.failureDomain; }),
            textField(
                "instance", "region", field_kind::Text, false, [](s & v) -> auto& { return v.instance.region; }),
            textField(
                "instance", "data_folder", field_kind::Text, false, [](s & v) -> auto& { return v.instance.dataFolder; }),
            textField(
                "listen", "callers", field_kind::Address, true, [](s & v) -> auto& { return v.listen.callers; }),
            textField(
                "listen", "operators", field_kind::Address, true, [](s & v) -> auto& { return v.listen.operators; }),
            textField(
                "listen", "instances", field_kind::Address, true, [](s & v) -> auto& { return v.listen.instances; }),
            textField(
                "listen", "certificate_file", field_kind::Text, false, [](s & v) -> auto& { return v.listen.certificateFile; }),
            textField(
                "listen", "key_file", field_kind::Text, false, [](s & v) -> auto& { return v.listen.keyFile; }),
            { "platform", "key_value", field_kind::UrlList, true, 0, 0, {}, {}, {}, [](s & v) -> auto& { return v.platform.keyValue;
    }
}
,
    textField(
        "platform", "platform", field_kind::Url, true, [](s& v) -> auto& { return v.platform.platform; }),
    textField(
        "platform", "weights", field_kind::Url, false, [](s& v) -> auto& { return v.platform.weights; }),
    numberField(
        "platform", "key_value_calls_per_second", field_kind::Count, 1, 2000, [](s& v) -> auto& { return v.platform.keyValueCallsPerSecond; }),
    textField(
        "security", "instance_secret_file", field_kind::Text, false, [](s& v) -> auto& { return v.security.instanceSecretFile; }),
    textField(
        "security", "bootstrap_operator_digest", field_kind::Text, false, [](s& v) -> auto& { return v.security.bootstrapOperatorDigest; }),
    textField(
        "security", "bootstrap_operator_salt", field_kind::Text, false, [](s& v) -> auto& { return v.security.bootstrapOperatorSalt; }),
    numberField(
        "limits", "connections", field_kind::Count, 1, 65536, [](s& v) -> auto& { return v.limits.connections; }),
    numberField(
        "limits", "body", field_kind::Size, kibi, largestBody, [](s& v) -> auto& { return v.limits.bodyBytes; }),
    numberField(
        "limits", "header", field_kind::Size, 4 * kibi, mebi, [](s& v) -> auto& { return v.limits.headerBytes; }),
    numberField(
        "limits", "unread", field_kind::Size, 16 * kibi, 16 * mebi, [](s& v) -> auto& { return v.limits.unreadBytes; }),
    numberField(
        "limits", "queued_requests", field_kind::Count, 1, 65536, [](s& v) -> auto& { return v.limits.queuedRequests; }),
    timeField(
        "request_timeout", 100, msPerHour, [](s& v) -> auto& { return v.limits.requestTimeout; }, "limits"),
    timeField(
        "target_silence", 50, msPerHour, [](s& v) -> auto& { return v.limits.targetSilence; }, "limits"),
    timeField(
        "heartbeat", 20, msPerMinute, [](s& v) -> auto& { return v.timing.heartbeat; }),
    timeField(
        "lease", 500, 10 * msPerMinute, [](s& v) -> auto& { return v.timing.lease; }),
    timeField(
        "drain", 0, msPerHour, [](s& v) -> auto& { return v.timing.drain; }),
    timeField(
        "load_reports", 20, msPerMinute, [](s& v) -> auto& { return v.timing.loadReports; }),
    timeField(
        "target_list", 50, msPerMinute, [](s& v) -> auto& { return v.timing.targetList; }),
    timeField(
        "usage_window", 1000, msPerDay, [](s& v) -> auto& { return v.timing.usageWindow; }),
    timeField(
        "usage_grace", 100, msPerHour, [](s& v) -> auto& { return v.timing.usageGrace; }),
    timeField(
        "capacity_idle", 1000, msPerHour, [](s& v) -> auto& { return v.timing.capacityIdle; }),
    timeField(
        "cut_off", 500, msPerHour, [](s& v) -> auto& { return v.timing.cutOff; }),
    textField(
        "log", "level", field_kind::Level, false, [](s& v) -> auto& { return v.log.level; }),
    textField(
        "trace", "file", field_kind::Text, false, [](s& v) -> auto& { return v.trace.file; }),
    numberField(
        "trace", "size", field_kind::Size, 64 * kibi, 1024 * mebi, [](s& v) -> auto& { return v.trace.bytes; }),
};
return table;
}

struct unit {
    std::string_view name;
    std::int64_t factor;
};
constexpr unit timeUnits[] = { { "ms", 1 }, { "s", msPerSecond }, { "min", msPerMinute }, { "h", msPerHour } };
constexpr unit sizeUnits[] = { { "B", 1 }, { "KiB", kibi }, { "MiB", mebi } };

// Reads "250ms" or "64 KiB"; empty if the number or the unit is not as stated.
template <std::size_t N>
std::optional<std::int64_t> parseQuantity(std::string_view text, const unit (&units)[N])
{
    std::size_t digits = 0;
    while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9')
        ++digits;
    constexpr std::size_t mostDigits = 12;
    if (digits == 0 || digits > mostDigits)
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

bool isAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr ignored {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ignored) != 1)
        return false;
    const auto port = text.substr(colon + 1);
    constexpr std::size_t longestPort = 5;
    constexpr int largestPort = 65535;
    if (port.empty() || port.size() > longestPort || port.find_first_not_of("0123456789") != std::string::npos)
        return false;
    const int number = std::stoi(port);
    return number > 0 && number <= largestPort;
}

bool isUrl(const std::string& text)
{
    return (text.rfind("http://", 0) == 0 && text.size() > 7) || (text.rfind("https://", 0) == 0 && text.size() > 8);
}

std::string timeText(std::int64_t ms)
{
    if (ms % msPerHour == 0 && ms > 0)
        return std::to_string(ms / msPerHour) + "h";
    if (ms % msPerSecond == 0 && ms > 0)
        return std::to_string(ms / msPerSecond) + "s";
    return std::to_string(ms) + "ms";
}

std::string sizeText(std::int64_t bytes)
{
    return bytes % mebi == 0 ? std::to_string(bytes / mebi) + " MiB" : std::to_string(bytes / kibi) + " KiB";
}

// What a value of this field has to be, for messages.
std::string expectation(const field& f)
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
    case field_kind::Count:
        return "a whole number from " + std::to_string(f.least) + " to " + std::to_string(f.most);
    case field_kind::Size:
        return "a size with unit B, KiB or MiB from " + sizeText(f.least) + " to " + sizeText(f.most) + ", such as \"64 KiB\"";
    case field_kind::Time:
        return "a time with unit ms, s, min or h from " + timeText(f.least) + " to " + timeText(f.most) + ", such as \"250ms\"";
    case field_kind::Level:
        return "one of \"debug\", \"info\", \"warning\", \"error\"";
    }
    return {};
}

// Stores the value, or returns false if it is not what the field wants.
bool store(const field& f, const toml::node& node, settings& out)
{
    const auto text = node.value_exact<std::string>();
    const auto inRange = [&f](std::int64_t n) { return n >= f.least && n <= f.most; };
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
    case field_kind::UrlList: {
        const auto* array = node.as_array();
        if (array == nullptr || array->empty())
            return false;
        std::vector<std::string> urls;
        for (const auto& item : *array) {
            const auto url = item.value_exact<std::string>();
            if (!url || !isUrl(*url))
                return false;
            urls.push_back(*url);
        }
        f.list(out) = std::move(urls);
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
    }
    return false;
}

const field* findField(std::string_view section, std::string_view key)
{
    for (const auto& f : fields()) {
        if (f.section == section && f.key == key)
            return &f;
    }
    return nullptr;
}

bool isSection(std::string_view name)
{
    return std::any_of(fields().begin(), fields().end(), [name](const field& f) { return f.section == name; });
}

settings_fault faultAt(const std::string& file, const toml::source_region& where, std::string message)
{
    return { file, where.begin.line, where.begin.column, std::move(message) };
}

void readSection(const std::string& file, std::string_view section, const toml::table& table, settings_reading& out)
{
    for (const auto& [key, node] : table) {
        const std::string name = std::string(section) + "." + std::string(key.str());
        const auto* f = findField(section, key.str());
        if (f == nullptr) {
            out.faults.push_back(faultAt(file, key.source(), "unknown key " + name));
            continue;
        }
        if (!store(*f, node, out.value))
            out.faults.push_back(faultAt(file, node.source(), name + ": expected " + expectation(*f)));
    }
}

void checkRequired(const std::string& file, const toml::table& root, settings_reading& out)
{
    for (const auto& f : fields()) {
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

// Rules that join two settings.
void checkTogether(const std::string& file, settings_reading& out)
{
    const auto& v = out.value;
    if (v.listen.certificateFile.empty() != v.listen.keyFile.empty())
        out.faults.push_back({ file, 0, 0, "listen.certificate_file and listen.key_file: expected both or neither" });
    if (v.timing.heartbeat * 3 > v.timing.lease)
        out.faults.push_back({ file, 0, 0, "timing.lease: expected at least three times timing.heartbeat" });
    if (v.timing.usageGrace >= v.timing.usageWindow)
        out.faults.push_back({ file, 0, 0, "timing.usage_grace: expected less than timing.usage_window" });
}

} // namespace

settings_reading readSettings(std::string_view text, const std::string& file)
{
    settings_reading out;
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (const toml::parse_error& e) {
        out.faults.push_back(faultAt(file, e.source(), "not TOML: " + std::string(e.description())));
        return out;
    }

    // Step 1. Each section and key is known and its value fits.
    for (const auto& [name, node] : root) {
        if (!isSection(name.str())) {
            out.faults.push_back(faultAt(file, name.source(), "unknown section " + std::string(name.str())));
            continue;
        }
        if (!node.is_table()) {
            out.faults.push_back(faultAt(file, node.source(), std::string(name.str()) + ": expected a table"));
            continue;
        }
        readSection(file, name.str(), *node.as_table(), out);
    }

    // Step 2. Nothing that is required is missing.
    checkRequired(file, root, out);

    // Step 3. The values fit each other, once each is right by itself.
    if (out.faults.empty())
        checkTogether(file, out);

    std::stable_sort(out.faults.begin(), out.faults.end(), [](const settings_fault& a, const settings_fault& b) {
        return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    return out;
}

settings_reading readSettingsFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        settings_reading out;
        out.faults.push_back({ file, 0, 0, "can't be opened" });
        return out;
    }
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    return readSettings(text, file);
}

std::string toString(const settings_fault& fault)
{
    std::string place = fault.file;
    if (fault.line != 0)
        place += ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column);
    return place + ": " + fault.message;
}

} // namespace lovagerail
