// Field table of an entry instance's settings, with the checks between fields.
#include "edge/entry_settings.h"

#include "settings_reader.h"

#include <arpa/inet.h>

namespace lovagerail::edge {

namespace {

    using namespace detail;
    using s = entry_settings;

    constexpr std::int64_t maxExtraWork = 2000; // hundredths of a percent; above 20% requests of usual speed would be repeated

    constexpr std::int64_t maxMemoryMb = 10'000'000;
    constexpr std::int64_t maxDescriptors = 100'000'000;
    constexpr std::int64_t maxStoreValueBytes = 1 << 30;

    field<s> text(const char* section, const char* key, field_kind kind, bool required, std::function<std::string&(s&)> where)
    {
        return textField<s>(section, key, kind, required, std::move(where));
    }

    field<s> time(const char* section, const char* key, std::int64_t minMs, std::int64_t maxMs, std::function<std::chrono::milliseconds&(s&)> where)
    {
        return timeField<s>(key, minMs, maxMs, std::move(where), section);
    }

    const field_table<s>& fields()
    {
        static const field_table<s> table {
            text("instance", "name", field_kind::Text, true, [](s& v) -> std::string& { return v.instance.name; }),
            text("instance", "failure_domain", field_kind::Text, true, [](s& v) -> std::string& { return v.instance.failureDomain; }),
            text("instance", "region", field_kind::Text, false, [](s& v) -> std::string& { return v.instance.region; }),
            text("instance", "address", field_kind::Text, false, [](s& v) -> std::string& { return v.instance.address; }),
            text("listen", "callers", field_kind::Address, false, [](s& v) -> std::string& { return v.listen.callers; }),
            text("listen", "readiness", field_kind::Address, false, [](s& v) -> std::string& { return v.listen.readiness; }),
            text("listen", "instances", field_kind::Address, false, [](s& v) -> std::string& { return v.listen.instances; }),
            text("listen", "metrics", field_kind::Address, true, [](s& v) -> std::string& { return v.listen.metrics; }),
            { "listen", "seeds", field_kind::AddressList, false, 0, 0, {}, {}, {}, [](s& v) -> std::vector<std::string>& { return v.listen.seeds; } },
            text("store", "address", field_kind::Address, true, [](s& v) -> std::string& { return v.store.address; }),
            numberField<s>("store", "max_value_bytes", field_kind::Count, 1024, maxStoreValueBytes, [](s& v) -> std::int64_t& { return v.store.maxValueBytes; }),
            text("duties", "address", field_kind::Address, false, [](s& v) -> std::string& { return v.duties.address; }),
            time("duties", "usage_window", msPerSecond, msPerDay, [](s& v) -> std::chrono::milliseconds& { return v.duties.usageWindow; }),
            time("duties", "usage_late", msPerSecond, msPerDay, [](s& v) -> std::chrono::milliseconds& { return v.duties.usageLate; }),
            time("duties", "turn_time", 0, msPerMinute, [](s& v) -> std::chrono::milliseconds& { return v.duties.turnTime; }),
            time("bounds", "configuration", 100, msPerHour, [](s& v) -> std::chrono::milliseconds& { return v.bounds.configuration; }),
            time("bounds", "drain", 100, msPerHour, [](s& v) -> std::chrono::milliseconds& { return v.bounds.drain; }),
            time("bounds", "stop", msPerSecond, msPerHour, [](s& v) -> std::chrono::milliseconds& { return v.bounds.stop; }),
            time("bounds", "results_kept", msPerSecond, msPerDay, [](s& v) -> std::chrono::milliseconds& { return v.bounds.resultsKept; }),
            time("bounds", "open_batches_kept", msPerSecond, msPerDay, [](s& v) -> std::chrono::milliseconds& { return v.bounds.openBatchesKept; }),
            time("bounds", "evacuation", 100, msPerHour, [](s& v) -> std::chrono::milliseconds& { return v.bounds.evacuation; }),
            decimalField<s>("bounds", "cold_overshoot", 1, 100, [](s& v) -> double& { return v.bounds.coldOvershoot; }),
            decimalField<s>("bounds", "cold_slack", 0, 100'000, [](s& v) -> double& { return v.bounds.coldSlack; }),
            textMapField<s>("placement", "regions", [](s& v) -> std::map<std::string, std::string>& { return v.placement.regions; }),
            time("targets", "connection_cost", 0, msPerSecond, [](s& v) -> std::chrono::milliseconds& { return v.targets.connectionCost; }),
            numberField<s>("hedging", "extra_work", field_kind::Percent, 0, maxExtraWork, [](s& v) -> std::int64_t& { return v.hedging.extraWork.emplace(0); }),
            decimalField<s>("machine", "memory_mb", 0, maxMemoryMb, [](s& v) -> double& { return v.machine.memoryMb; }),
            numberField<s>("machine", "descriptors", field_kind::Count, 0, maxDescriptors, [](s& v) -> std::int64_t& { return v.machine.descriptors; }),
            text("log", "level", field_kind::Level, false, [](s& v) -> std::string& { return v.log.level; }),
        };
        return table;
    }

    void checkTogether(const std::string& file, entry_reading& out)
    {
        const auto& v = out.value;
        in_addr parsed {};
        if (!v.instance.address.empty() && inet_pton(AF_INET, v.instance.address.c_str(), &parsed) != 1)
            out.faults.push_back({ file, 0, 0, "instance.address: expected an IP number" });
        if (v.listen.callers.empty() != v.listen.readiness.empty())
            out.faults.push_back({ file, 0, 0, "listen.callers and listen.readiness: expected both or neither" });
        if (!v.listen.callers.empty() && v.listen.instances.empty())
            out.faults.push_back({ file, 0, 0, "listen.instances: expected with listen.callers" });
    }

} // namespace

std::optional<double> extraWorkShare(const entry_settings& settings)
{
    constexpr double hundredthsOfPercent = 10'000;
    if (!settings.hedging.extraWork)
        return std::nullopt;
    return static_cast<double>(*settings.hedging.extraWork) / hundredthsOfPercent;
}

entry_reading readEntrySettings(std::string_view text, const std::string& file)
{
    return readByTable(fields(), text, file, checkTogether);
}

entry_reading readEntrySettingsFile(const std::string& file)
{
    const auto text = readTextFile(file);
    if (text)
        return readEntrySettings(*text, file);
    entry_reading out;
    out.faults.push_back({ file, 0, 0, "can't be opened" });
    return out;
}

} // namespace lovagerail::edge
