// The table of the daemon's settings, with their types and ranges.
#include "settings.h"

#include "settings_reader.h"

#include <fstream>
#include <iterator>

namespace lovagerail {

namespace {

    using namespace detail;

    constexpr std::int64_t maxBodyBytes = 64 * mebi;

    const field_table<settings>& fields()
    {
        using s = settings;
        static const field_table<settings> table {
            textField<s>(
                "instance", "name", field_kind::Text, true, [](s & v) -> auto& { return v.instance.name; }),
            textField<s>(
                "instance", "failure_domain", field_kind::Text, true, [](s & v) -> auto& { return v.instance.failureDomain; }),
            textField<s>(
                "instance", "region", field_kind::Text, false, [](s & v) -> auto& { return v.instance.region; }),
            textField<s>(
                "instance", "data_folder", field_kind::Text, false, [](s & v) -> auto& { return v.instance.dataFolder; }),
            textField<s>(
                "listen", "callers", field_kind::Address, true, [](s & v) -> auto& { return v.listen.callers; }),
            textField<s>(
                "listen", "operators", field_kind::Address, true, [](s & v) -> auto& { return v.listen.operators; }),
            textField<s>(
                "listen", "instances", field_kind::Address, true, [](s & v) -> auto& { return v.listen.instances; }),
            textField<s>(
                "listen", "certificate_file", field_kind::Text, false, [](s & v) -> auto& { return v.listen.certificateFile; }),
            textField<s>(
                "listen", "key_file", field_kind::Text, false, [](s & v) -> auto& { return v.listen.keyFile; }),
            { "platform", "key_value", field_kind::UrlList, true, 0, 0, {}, {}, {}, [](s & v) -> auto& { return v.platform.keyValue;
    }
}
,
    textField<s>(
        "platform", "platform", field_kind::Url, true, [](s& v) -> auto& { return v.platform.platform; }),
    textField<s>(
        "platform", "weights", field_kind::Url, false, [](s& v) -> auto& { return v.platform.weights; }),
    numberField<s>(
        "platform", "key_value_calls_per_second", field_kind::Count, 1, 2000, [](s& v) -> auto& { return v.platform.keyValueCallsPerSecond; }),
    textField<s>(
        "security", "instance_secret_file", field_kind::Text, false, [](s& v) -> auto& { return v.security.instanceSecretFile; }),
    textField<s>(
        "security", "bootstrap_operator_digest", field_kind::Text, false, [](s& v) -> auto& { return v.security.bootstrapOperatorDigest; }),
    textField<s>(
        "security", "bootstrap_operator_salt", field_kind::Text, false, [](s& v) -> auto& { return v.security.bootstrapOperatorSalt; }),
    numberField<s>(
        "limits", "connections", field_kind::Count, 1, 65536, [](s& v) -> auto& { return v.limits.connections; }),
    numberField<s>(
        "limits", "body", field_kind::Size, kibi, maxBodyBytes, [](s& v) -> auto& { return v.limits.bodyBytes; }),
    numberField<s>(
        "limits", "header", field_kind::Size, 4 * kibi, mebi, [](s& v) -> auto& { return v.limits.headerBytes; }),
    numberField<s>(
        "limits", "unread", field_kind::Size, 16 * kibi, 16 * mebi, [](s& v) -> auto& { return v.limits.unreadBytes; }),
    numberField<s>(
        "limits", "queued_requests", field_kind::Count, 1, 65536, [](s& v) -> auto& { return v.limits.queuedRequests; }),
    timeField<s>(
        "request_timeout", 100, msPerHour, [](s& v) -> auto& { return v.limits.requestTimeout; }, "limits"),
    timeField<s>(
        "target_silence", 50, msPerHour, [](s& v) -> auto& { return v.limits.targetSilence; }, "limits"),
    timeField<s>(
        "heartbeat", 20, msPerMinute, [](s& v) -> auto& { return v.timing.heartbeat; }),
    timeField<s>(
        "lease", 500, 10 * msPerMinute, [](s& v) -> auto& { return v.timing.lease; }),
    timeField<s>(
        "drain", 0, msPerHour, [](s& v) -> auto& { return v.timing.drain; }),
    timeField<s>(
        "load_reports", 20, msPerMinute, [](s& v) -> auto& { return v.timing.loadReports; }),
    timeField<s>(
        "target_list", 50, msPerMinute, [](s& v) -> auto& { return v.timing.targetList; }),
    timeField<s>(
        "usage_window", 1000, msPerDay, [](s& v) -> auto& { return v.timing.usageWindow; }),
    timeField<s>(
        "usage_grace", 100, msPerHour, [](s& v) -> auto& { return v.timing.usageGrace; }),
    timeField<s>(
        "capacity_idle", 1000, msPerHour, [](s& v) -> auto& { return v.timing.capacityIdle; }),
    timeField<s>(
        "cut_off", 500, msPerHour, [](s& v) -> auto& { return v.timing.cutOff; }),
    textField<s>(
        "log", "level", field_kind::Level, false, [](s& v) -> auto& { return v.log.level; }),
    textField<s>(
        "trace", "file", field_kind::Text, false, [](s& v) -> auto& { return v.trace.file; }),
    numberField<s>(
        "trace", "size", field_kind::Size, 64 * kibi, 1024 * mebi, [](s& v) -> auto& { return v.trace.bytes; }),
};
return table;
}

// Checks rules that involve two settings.
void checkTogether(const std::string& file, reading_of<settings>& out)
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
    return readByTable(fields(), text, file, checkTogether);
}

settings_reading readSettingsFile(const std::string& file)
{
    const auto text = readTextFile(file);
    if (!text) {
        settings_reading out;
        out.faults.push_back({ file, 0, 0, "can't be opened" });
        return out;
    }
    return readSettings(*text, file);
}

std::optional<std::string> readTextFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
}

std::string toString(const settings_fault& fault)
{
    std::string location = fault.file;
    if (fault.line != 0)
        location += ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column);
    return location + ": " + fault.message;
}

} // namespace lovagerail
