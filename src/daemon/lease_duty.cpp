// Between the leases' decisions, the service and the other instances.
#include "daemon/lease_duty.h"

#include "daemon/peer_duty.h"
#include "log.h"
#include "object_codec.h"
#include "rendezvous.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration holderMemory = std::chrono::seconds(1);

    lease_settings leaseSettings(const control_context& context)
    {
        lease_settings out;
        out.self = context.self;
        out.life = context.life;
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
    m_peers.server().add("dutyFree", [this](const Json::Value& told) -> result<Json::Value> {
        m_leases.hintFree(duty_id(told["duty"].asString()));
        return Json::Value(true);
    });
}

std::vector<duty_id> lease_duty::firstChoices() const
{
    std::vector<duty_id> out;
    if (m_context.draining)
        return out;
    std::vector<instance_id> members;
    for (const auto& one : m_live)
        members.push_back(one.id);
    for (const auto& duty : m_all) {
        const auto* first = rendezvousFirst(duty.str(), members);
        if (first != nullptr && *first == m_context.self)
            out.push_back(duty);
    }
    return out;
}

void lease_duty::tick()
{
    m_leases.setChoices(firstChoices(), { m_all.begin(), m_all.end() });
    act(m_leases.tick(m_context.now));
}

void lease_duty::act(std::vector<lease_action> actions)
{
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<lease_call>(&action)) {
            m_context.kv.call(std::move(wanted->call), [this, id = wanted->id](const result<kv_answer>& answer) {
                act(m_leases.onAnswer(id, answer, m_context.now));
            });
        } else if (const auto* gained = std::get_if<duty_gained>(&action)) {
            logEvent(log_level::Info, "lease", "gained", { { "for", gained->duty.str() }, { "fencing", std::to_string(gained->fencing.value()) } });
            for (const auto& tell : m_gained)
                tell(gained->duty, gained->fencing);
        } else if (const auto* lost = std::get_if<duty_lost>(&action)) {
            logEvent(log_level::Info, "lease", "lost", { { "for", lost->duty.str() }, { "fencing", std::to_string(lost->fencing.value()) } });
            for (const auto& tell : m_lost)
                tell(lost->duty, lost->fencing);
            tellFree(lost->duty);
        }
    }
}

// The next holder need not wait for its own next look.
void lease_duty::tellFree(const duty_id& duty)
{
    std::vector<instance_id> members;
    for (const auto& one : m_live) {
        if (one.id != m_context.self)
            members.push_back(one.id);
    }
    const auto order = rendezvousOrder(duty.str(), members);
    if (order.empty())
        return;
    const auto address = addressOf(order.front());
    if (!address)
        return;
    Json::Value told(Json::objectValue);
    told["duty"] = duty.str();
    m_peers.call(*address, "dutyFree", told, [](const result<Json::Value>&) {});
}

std::optional<std::string> lease_duty::addressOf(const instance_id& instance) const
{
    for (const auto& one : m_live) {
        if (one.id == instance)
            return one.address;
    }
    return std::nullopt;
}

void lease_duty::findHolder(const duty_id& duty, std::function<void(const result<duty_holder>&)> onFound)
{
    if (m_holderNews) {
        if (const auto told = m_holderNews(duty)) {
            onFound(*told);
            return;
        }
    }
    const auto known = m_cache.find(duty);
    if (known != m_cache.end() && m_context.now - known->second.at < holderMemory) {
        onFound(known->second.holder);
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
            m_cache[duty] = { holder, m_context.now };
            onFound(holder);
        });
}

} // namespace lovagerail::daemon
