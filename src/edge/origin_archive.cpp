// Collects, writes and reads origins of streams in the store; see origin_archive.h.
#include "edge/origin_archive.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "streams";
    constexpr std::string_view cause = "origins";
    const std::string keyPrefix = "/lovagerail/origins/";
    constexpr std::size_t instancesPerArchivist = 64;
    constexpr duration sendPeriod = std::chrono::milliseconds(200);
    constexpr duration writePeriod = std::chrono::milliseconds(250);
    constexpr duration retryDelay = std::chrono::milliseconds(500);
    constexpr std::chrono::milliseconds sendTimeout { 800 };
    constexpr std::int64_t leaseSeconds = 180; // entries last for the rest of it: two minutes at least
    constexpr duration leaseUse = std::chrono::seconds(60);
    constexpr duration reloadPeriod = std::chrono::seconds(5);
    constexpr Json::ArrayIndex maxRowsPerEntry = 4000; // well below the longest value of the store
    constexpr Json::ArrayIndex maxRowsKept = 65536; // while the store is away

    // Moves the rows to the end of `out`, as long as there is room.
    void append(Json::Value& out, const Json::Value& rows)
    {
        Json::ArrayIndex dropped = 0;
        for (const auto& row : rows) {
            if (out.size() < maxRowsKept)
                out.append(row);
            else
                ++dropped;
        }
        if (dropped > 0)
            logEvent(log_level::Warning, duty, "archive_full", { { "dropped", std::to_string(dropped) } });
    }

} // namespace

Json::Value originRow(const request_id& stream, const target_software& software)
{
    Json::Value out(Json::objectValue);
    out["stream"] = stream.str();
    out["pool"] = software.pool.str();
    out["software"] = software.version;
    return out;
}

target_software softwareFromRow(const Json::Value& row) { return { pool_id(jsonText(row, "pool")), jsonText(row, "software") }; }

std::optional<Json::Value> takeRows(const http::exchange_ptr& exchange)
{
    auto rows = parseJson(exchange->body);
    if (rows && rows->isArray())
        return rows;
    logEvent(log_level::Warning, duty, "refused", { { "bytes", std::to_string(exchange->body.size()) } });
    exchange->answer(statusBadRequest, {}, "not origins of streams");
    return std::nullopt;
}

void recordRows(stream_origins& origins, const Json::Value& rows, instant now)
{
    for (const auto& row : rows) {
        if (!row.isObject())
            continue;
        const request_id stream(jsonText(row, "stream"));
        const auto software = softwareFromRow(row);
        if (!stream.empty() && !software.empty())
            origins.record(stream, software, now);
    }
}

origin_archive::origin_archive(context& shared, members& membership, stream_origins& origins)
    : m_context(shared)
    , m_members(membership)
    , m_origins(origins)
{
}

void origin_archive::add(Json::Value row)
{
    if (m_collected.empty())
        m_sendAt = m_context.now + sendPeriod;
    if (m_collected.size() < maxRowsKept)
        m_collected.append(std::move(row));
}

std::vector<instance_id> origin_archive::allArchivists() const
{
    auto order = rendezvousOrder("origins", m_members.names());
    order.resize(1 + (order.size() - 1) / instancesPerArchivist);
    return order;
}

std::vector<instance_id> origin_archive::archivists() const
{
    auto out = allArchivists();
    std::erase(out, instance_id(m_context.settings.instance.name));
    return out;
}

void origin_archive::send()
{
    const auto& self = m_context.settings.instance.name;
    const auto archivists = allArchivists();
    const auto* archivist = rendezvousFirst(self, archivists);
    if (archivist == nullptr)
        return;
    const auto rows = std::exchange(m_collected, Json::arrayValue);
    if (*archivist == instance_id(self)) {
        append(m_received, rows);
        return;
    }
    const auto* peer = m_members.find(*archivist);
    if (peer == nullptr)
        return;
    // No retry: copies in memory remain.
    m_context.net.call(peerCall(peer->address, "/archive", writeJson(rows), sendTimeout), [member = *archivist](const http::answer& answer) {
        if (!isOk(answer))
            logEvent(log_level::Warning, duty, "archive_not_reached", { { "member", member.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
    });
}

void origin_archive::onRecords(const http::exchange_ptr& exchange)
{
    const auto rows = takeRows(exchange);
    if (!rows)
        return;
    recordRows(m_origins, *rows, m_context.now);
    append(m_received, *rows);
    exchange->answer(statusOk, {}, "");
}

void origin_archive::tick()
{
    if (!m_collected.empty() && m_context.now >= m_sendAt)
        send();
    if (m_received.empty() || m_writing || m_context.now < m_writeAt)
        return;
    if (m_lease.value() == 0 || m_context.now - m_leaseFrom >= leaseUse)
        grantLease();
    else
        write();
}

void origin_archive::grantLease()
{
    m_writing = true;
    m_context.store.call(cause, kv_grant { leaseSeconds }, [this, askedAt = m_context.now](const result<kv_answer>& answer) {
        m_writing = false;
        if (answer) {
            m_lease = answer->lease;
            m_leaseFrom = askedAt;
            return;
        }
        m_writeAt = m_context.now + retryDelay;
        logEvent(log_level::Warning, duty, "archive_not_written", { { "error", toString(answer.error()) } });
    });
}

void origin_archive::write()
{
    Json::Value batch(Json::arrayValue);
    Json::Value rest(Json::arrayValue);
    for (const auto& row : m_received)
        (batch.size() < maxRowsPerEntry ? batch : rest).append(row);
    m_received = std::move(rest);
    const auto key = keyPrefix + m_context.settings.instance.name + "/" + std::to_string(m_context.ownIncarnation.value()) + "." + std::to_string(++m_lastBatch);
    kv_transaction change;
    change.then.emplace_back(kv_put { key, writeJson(batch), m_lease });
    m_writing = true;
    m_writeAt = m_context.now + writePeriod;
    m_context.store.call(cause, std::move(change), [this, batch = std::move(batch)](const result<kv_answer>& answer) {
        m_writing = false;
        if (answer && answer->succeeded)
            return;
        // Written again under a new lease; if it was written after all, the second entry says the same.
        logEvent(log_level::Warning, duty, "archive_not_written", { { "error", answer ? "the lease has ended" : toString(answer.error()) } });
        append(m_received, batch);
        m_lease = {};
        m_writeAt = m_context.now + retryDelay;
    });
}

void origin_archive::load(std::function<void()> onLoaded)
{
    const auto archivists = allArchivists();
    const bool isArchivist = std::find(archivists.begin(), archivists.end(), instance_id(m_context.settings.instance.name)) != archivists.end();
    if (!isArchivist || (m_loadedAt && m_context.now - *m_loadedAt < reloadPeriod)) {
        onLoaded();
        return;
    }
    m_loadCallbacks.push_back(std::move(onLoaded));
    if (m_loadCallbacks.size() == 1)
        m_context.store.list(cause, keyPrefix, [this](const result<kv_answer>& answer) { finishLoad(answer); });
}

void origin_archive::finishLoad(const result<kv_answer>& answer)
{
    if (answer) {
        m_loadedAt = m_context.now;
        for (const auto& entry : answer->entries) {
            const auto rows = parseJson(entry.value);
            if (rows && rows->isArray())
                recordRows(m_origins, *rows, m_context.now);
            else
                logEvent(log_level::Error, duty, "archive_malformed", { { "key", entry.key } });
        }
    } else
        logEvent(log_level::Warning, duty, "archive_not_read", { { "error", toString(answer.error()) } });
    for (const auto& callback : std::exchange(m_loadCallbacks, {}))
        callback();
}

} // namespace lovagerail::edge
