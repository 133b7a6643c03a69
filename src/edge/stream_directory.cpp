// Copies records of stream origins to other instances, and asks them.
#include "edge/stream_directory.h"

#include "edge/peer_call.h"
#include "edge/software_versions.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>
#include <memory>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "streams";
    constexpr std::size_t copies = 2; // besides our own record
    // More than there are copies: members that came since may rank before the keepers.
    constexpr std::size_t membersToAsk = 4;
    constexpr std::chrono::milliseconds copyTimeout { 800 };
    constexpr std::chrono::milliseconds askTimeout { 300 };

} // namespace

stream_directory::stream_directory(context& shared, members& membership, const software_versions& versions)
    : m_context(shared)
    , m_members(membership)
    , m_versions(versions)
    , m_archive(shared, membership, m_origins)
{
}

// The first other members for the stream.
std::vector<instance_id> stream_directory::keepersOf(const request_id& stream, std::size_t count) const
{
    std::vector<instance_id> names;
    for (const auto& peer : m_members.others())
        names.push_back(peer.name);
    auto order = rendezvousOrder(stream.str(), std::move(names));
    order.resize(std::min(order.size(), count));
    return order;
}

void stream_directory::begun(const request_id& caller, const target_software& software)
{
    const auto stream = recordedName(caller);
    m_origins.record(stream, software, m_context.now);
    auto row = originRow(stream, software);
    for (const auto& keeper : keepersOf(stream, copies))
        m_toSend.try_emplace(keeper, Json::arrayValue).first->second.append(row);
    if (m_versions.isMixed(software.pool))
        m_archive.add(std::move(row));
}

void stream_directory::tick()
{
    m_origins.dropExpired(m_context.now);
    m_archive.tick();
    for (const auto& [name, rows] : std::exchange(m_toSend, {})) {
        const auto* peer = m_members.find(name);
        if (peer == nullptr)
            continue;
        // No retry: another copy and our own record remain.
        m_context.net.call(peerCall(peer->address, "/origins", writeJson(rows), copyTimeout), [member = name](const http::answer& answer) {
            if (!isOk(answer))
                logEvent(log_level::Warning, duty, "copy_failed", { { "member", member.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        });
    }
}

void stream_directory::find(const request_id& caller, found_function onFound)
{
    const auto stream = recordedName(caller);
    if (const auto known = m_origins.find(stream, m_context.now)) {
        onFound(known);
        return;
    }
    struct question {
        found_function onFound; // empty once it was called
        std::size_t openCalls = 0;
    };
    const auto asked = std::make_shared<question>();
    asked->onFound = std::move(onFound);
    const auto conclude = [asked](const std::optional<target_software>& software) {
        if (const auto callback = std::exchange(asked->onFound, {}))
            callback(software);
    };
    const auto onMissing = [asked, conclude] {
        if (--asked->openCalls == 0)
            conclude(std::nullopt);
    };
    auto toAsk = keepersOf(stream, membersToAsk);
    for (auto& archivist : m_archive.archivists()) {
        if (std::find(toAsk.begin(), toAsk.end(), archivist) == toAsk.end())
            toAsk.push_back(std::move(archivist));
    }
    asked->openCalls = toAsk.size() + 1;
    Json::Value body(Json::objectValue);
    body["stream"] = stream.str();
    for (const auto& member : toAsk) {
        m_context.net.call(peerCall(m_members.find(member)->address, "/origin", writeJson(body), askTimeout), [conclude, onMissing](const http::answer& answer) {
            const auto row = isOk(answer) ? parseJson(answer.body) : std::nullopt;
            const auto software = row ? softwareFromRow(*row) : target_software();
            if (!software.empty())
                conclude(software);
            else
                onMissing();
        });
    }
    m_archive.load([this, stream, conclude, onMissing] {
        if (const auto known = m_origins.find(stream, m_context.now))
            conclude(known);
        else
            onMissing();
    });
}

void stream_directory::onQuestion(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    const request_id stream(body ? jsonText(*body, "stream") : std::string());
    const auto answer = [this, exchange, stream] {
        if (const auto software = m_origins.find(stream, m_context.now))
            exchange->answer(statusOk, {}, writeJson(originRow(stream, *software)));
        else
            exchange->answer(statusNotFound, {}, "");
    };
    if (m_origins.find(stream, m_context.now))
        answer();
    else
        m_archive.load(answer);
}

void stream_directory::onCopies(const http::exchange_ptr& exchange)
{
    const auto rows = takeRows(exchange);
    if (!rows)
        return;
    recordRows(m_origins, *rows, m_context.now);
    exchange->answer(statusOk, {}, "");
}

} // namespace lovagerail::edge
