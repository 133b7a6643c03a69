// Follows the lists of targets, and reads and writes the record of versions in the store.
#include "edge/software_versions.h"

#include "json_text.h"
#include "log.h"
#include "site.h"

#include <algorithm>
#include <json/value.h>
#include <utility>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "streams";
    constexpr std::string_view cause = "software";
    const std::string keyPrefix = "/lovagerail/software/";
    constexpr duration retryDelay = std::chrono::milliseconds(300);
    constexpr duration malformedRetryDelay = std::chrono::seconds(5);

    std::string encode(const std::set<target_software>& software)
    {
        Json::Value out(Json::objectValue);
        out["versions"] = Json::arrayValue;
        for (const auto& one : software)
            out["versions"].append(one.version);
        return writeJson(out);
    }

    std::optional<std::set<target_software>> decode(const pool_id& pool, const std::string& text)
    {
        const auto json = parseJson(text);
        if (!json || !json->isObject() || !(*json)["versions"].isArray())
            return std::nullopt;
        std::set<target_software> out;
        for (const auto& version : (*json)["versions"]) {
            if (!version.isString())
                return std::nullopt;
            out.insert({ pool, version.asString() });
        }
        return out;
    }

} // namespace

software_versions::software_versions(context& shared, const platform_view& view)
    : m_context(shared)
    , m_view(view)
{
}

void software_versions::findOnly(std::set<pool_id> pools, duration patience, found_function onFound)
{
    m_questions.push_back({ std::move(pools), m_context.now, m_context.now + patience, std::move(onFound) });
}

bool software_versions::isMixed(const pool_id& pool) const
{
    const auto lately = m_history.lately(m_context.now);
    return std::count_if(lately.begin(), lately.end(), [&](const target_software& software) { return software.pool == pool; }) > 1;
}

void software_versions::observe()
{
    if (!m_view.targetsKnown() || m_view.targetsProvenAt() == m_observedAt)
        return;
    m_observedAt = m_view.targetsProvenAt();
    std::set<target_software> listed;
    for (const auto& entry : m_view.targets())
        listed.insert(entry.listed.software());
    m_history.observe(listed, m_observedAt, m_context.now);
}

// Answers the question if that is possible by now.
bool software_versions::answer(const question& asked)
{
    const auto found = m_history.onlySoftware(asked.pools, asked.askedAt, m_context.now);
    if (found.is == software_history::verdict::Found) {
        asked.onFound(found.software);
        return true;
    }
    if (found.is == software_history::verdict::Incomplete)
        m_mustRead = true;
    if (found.is != software_history::verdict::Ambiguous && m_context.now < asked.until)
        return false;
    asked.onFound(std::nullopt);
    return true;
}

void software_versions::tick()
{
    observe();
    auto open = std::exchange(m_questions, {});
    std::erase_if(open, [this](const question& asked) { return answer(asked); });
    m_questions.insert(m_questions.end(), std::make_move_iterator(open.begin()), std::make_move_iterator(open.end()));
    if (m_busy || m_context.now < m_callAt || !m_view.targetsKnown())
        return;
    const bool isRoot = m_view.isRoot();
    const bool isComplete = m_history.isComplete(m_context.now);
    if (std::exchange(m_mustRead, false) || (isRoot && (!m_recordKnown || !isComplete)))
        read();
    else if (isRoot)
        write();
}

void software_versions::read()
{
    m_busy = true;
    m_context.store.list(cause, keyPrefix, [this](const result<kv_answer>& answer) {
        m_busy = false;
        m_callAt = m_context.now + retryDelay;
        if (!answer) {
            logEvent(log_level::Warning, duty, "versions_not_read", { { "error", toString(answer.error()) } });
            return;
        }
        std::set<target_software> all;
        bool isSound = true;
        std::map<pool_id, recorded_pool> recorded;
        for (const auto& entry : answer->entries) {
            const pool_id pool(entry.key.substr(std::min(keyPrefix.size(), entry.key.size())));
            const auto software = decode(pool, entry.value);
            if (!software) {
                // The root replaces it once it has followed the lists for long enough.
                logEvent(log_level::Error, duty, "versions_malformed", { { "key", entry.key } });
                recorded[pool] = { {}, entry.modRevision };
                isSound = false;
                continue;
            }
            all.insert(software->begin(), software->end());
            recorded[pool] = { *software, entry.modRevision };
        }
        m_recorded = std::move(recorded);
        m_recordKnown = true;
        if (isSound)
            m_history.restore(all, m_context.now);
        else
            m_callAt = m_context.now + malformedRetryDelay;
    });
}

std::set<pool_id> software_versions::streamingPools() const
{
    std::set<pool_id> out;
    if (!m_context.site)
        return out;
    for (const auto& route : m_context.site->routes) {
        if (route.kind != route_kind::Stream)
            continue;
        for (const auto& weighted : route.services)
            out.emplace(weighted.service.str());
    }
    return out;
}

void software_versions::write()
{
    const auto lately = m_history.lately(m_context.now);
    for (const auto& pool : streamingPools()) {
        std::set<target_software> software;
        std::copy_if(lately.begin(), lately.end(), std::inserter(software, software.end()), [&](const target_software& one) { return one.pool == pool; });
        const auto found = m_recorded.find(pool);
        if (software.empty() || (found != m_recorded.end() && found->second.software == software))
            continue;
        write(pool, software);
        return; // one call at a time
    }
}

void software_versions::write(const pool_id& pool, const std::set<target_software>& software)
{
    const auto key = keyPrefix + pool.str();
    kv_transaction change;
    change.compares.push_back({ key, kv_field::ModRevision, m_recorded[pool].at, {} });
    change.then.emplace_back(kv_put { key, encode(software), {} });
    m_busy = true;
    m_context.store.call(cause, std::move(change), [this, pool, software](const result<kv_answer>& answer) {
        m_busy = false;
        if (answer && answer->succeeded) {
            m_recorded[pool] = { software, answer->at };
            logEvent(log_level::Info, duty, "versions", { { "pool", pool.str() }, { "count", std::to_string(software.size()) } });
            return;
        }
        // The answer was lost or another root has written: what is there now is read first.
        logEvent(log_level::Info, duty, "versions_not_written", { { "pool", pool.str() }, { "error", answer ? "changed by another instance" : toString(answer.error()) } });
        m_recordKnown = false;
        m_callAt = m_context.now + retryDelay;
    });
}

} // namespace lovagerail::edge
