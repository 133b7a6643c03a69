// Executes the actions of the lease logic (lease.h) on the key-value service, and tells the
// other duties and instances about gained and lost leases.
#include "daemon/lease_duty.h"

#include "daemon/peer_duty.h"
#include "log.h"
#include "object_codec.h"
#include "rendezvous.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration holderCacheTime = std::chrono::seconds(1);

    lease_settings leaseSettings(const control_context& context)
    {
        lease_settings out;
        out.self = context.self;
        out.incarnationNumber = context.incarnationNumber;
        out.time = std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(context.values.timing.lease));
        out.margin = out.time / 10;
        return out;
    }

} // namespace

lease_duty::lease_duty(control_context& context, peer_duty& peers)
    : m_context(context)
    , m_peers(peers)
    , m_leases(leaseSettings(context))
{
    m_peers.server().add("dutyFree", [this](const Json::Value& parameters) -> result<Json::Value> {
        m_leases.onDutyReleased(duty_id(parameters["duty"].asString()));
        return Json::Value(true);
    });
}

std::vector<duty_id> lease_duty::preferredDuties() const
{
    std::vector<duty_id> out;
    if (m_context.draining)
        return out;
    std::vector<instance_id> members;
    for (const auto& instance : m_live)
        members.push_back(instance.id);
    for (const auto& duty : m_duties) {
        const auto* preferred = rendezvousFirst(duty.str(), members);
        if (preferred != nullptr && *preferred == m_context.self)
            out.push_back(duty);
    }
    return out;
}

void lease_duty::tick()
{
    m_leases.setPreferredDuties(preferredDuties(), { m_duties.begin(), m_duties.end() });
    execute(m_leases.tick(m_context.now));
}

void lease_duty::execute(std::vector<lease_action> actions)
{
    for (auto& action : actions) {
        if (auto* request = std::get_if<lease_call>(&action)) {
            m_context.kv.call(std::move(request->call), [this, id = request->id](const result<kv_answer>& answer) {
                execute(m_leases.onAnswer(id, answer, m_context.now));
            });
        } else if (const auto* gained = std::get_if<duty_gained>(&action)) {
            logEvent(log_level::Info, "lease", "gained", { { "for", gained->duty.str() }, { "fencing", std::to_string(gained->fencing.value()) } });
            for (const auto& notify : m_gained)
                notify(gained->duty, gained->fencing);
        } else if (const auto* lost = std::get_if<duty_lost>(&action)) {
            logEvent(log_level::Info, "lease", "lost", { { "for", lost->duty.str() }, { "fencing", std::to_string(lost->fencing.value()) } });
            for (const auto& notify : m_lost)
                notify(lost->duty, lost->fencing);
            notifyNextHolder(lost->duty);
        }
    }
}

// Tells the next holder that the lease is free, so that it does not wait for its next poll.
void lease_duty::notifyNextHolder(const duty_id& duty)
{
    std::vector<instance_id> members;
    for (const auto& instance : m_live) {
        if (instance.id != m_context.self)
            members.push_back(instance.id);
    }
    const auto order = rendezvousOrder(duty.str(), members);
    if (order.empty())
        return;
    const auto address = addressOf(order.front());
    if (!address)
        return;
    Json::Value parameters(Json::objectValue);
    parameters["duty"] = duty.str();
    m_peers.call(*address, "dutyFree", parameters, [](const result<Json::Value>&) {});
}

std::optional<std::string> lease_duty::addressOf(const instance_id& instance) const
{
    for (const auto& entry : m_live) {
        if (entry.id == instance)
            return entry.address;
    }
    return std::nullopt;
}

void lease_duty::findHolder(const duty_id& duty, std::function<void(const result<duty_holder>&)> onFound)
{
    if (m_holderLookup) {
        if (const auto gossipedHolder = m_holderLookup(duty)) {
            onFound(*gossipedHolder);
            return;
        }
    }
    const auto cached = m_holderCache.find(duty);
    if (cached != m_holderCache.end() && m_context.now - cached->second.at < holderCacheTime) {
        onFound(cached->second.holder);
        return;
    }
    m_context.kv.call(kv_range { std::string(dutyPrefix) + duty.str(), {}, 0, {}, false },
        [this, duty, onFound = std::move(onFound)](const result<kv_answer>& answer) {
            if (!answer) {
                onFound(tl::unexpected(answer.error()));
                return;
            }
            if (answer->entries.empty()) {
                onFound(failure(error_code::NotFound, "lease.holder", peer_kind::KeyValueService, {}, "nobody holds " + duty.str()));
                return;
            }
            const auto& entry = answer->entries.front();
            const auto parsed = parseJson(entry.value, "lease.holder");
            if (!parsed) {
                onFound(tl::unexpected(parsed.error()));
                return;
            }
            const duty_holder holder { instance_id((*parsed)["instance"].asString()), incarnation((*parsed)["incarnation"].asUInt64()),
                fencing_number(entry.createRevision.value()) };
            m_holderCache[duty] = { holder, m_context.now };
            onFound(holder);
        });
}

} // namespace lovagerail::daemon
