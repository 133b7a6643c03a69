// Storing and fetching payloads on this and on other instances.
#include "daemon/payload_duty.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr byte_count storeCapacity { 64u << 20 };
    constexpr std::size_t copyCount = 2;
    constexpr std::chrono::milliseconds putTimeout { 3000 };
    constexpr std::chrono::milliseconds getTimeout { 2000 };

    std::optional<payload_digest> digestFrom(const std::string& hex)
    {
        payload_digest out;
        if (hex.size() != out.bytes.size() * 2 || hex.find_first_not_of("0123456789abcdef") != std::string::npos)
            return std::nullopt;
        constexpr int base = 16;
        for (std::size_t i = 0; i < out.bytes.size(); ++i)
            out.bytes[i] = static_cast<std::uint8_t>(std::stoi(hex.substr(i * 2, 2), nullptr, base));
        return out;
    }

    Json::Value stepParameters(const run_id& run, step_number step)
    {
        Json::Value out(Json::objectValue);
        out["run"] = run.str();
        out["step"] = Json::UInt64(step.value());
        return out;
    }

} // namespace

payload_duty::payload_duty(control_context& context, lease_duty& leases, peer_duty& peers)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
    , m_store(storeCapacity)
{
    addMethods();
}

void payload_duty::addMethods()
{
    auto& server = m_peers.server();
    server.add("putPayloads", [this](const Json::Value& parameters) -> result<Json::Value> {
        const run_id run(parameters["run"].asString());
        const step_number step(parameters["step"].asUInt64());
        for (const auto& payload : parameters["payloads"]) {
            const auto stored = m_store.put(run, step, payload.asString());
            if (!stored)
                return tl::unexpected(stored.error());
        }
        return Json::Value(Json::UInt64(m_context.incarnationNumber.value()));
    });
    server.add("getPayload", [this](const Json::Value& parameters) -> result<Json::Value> {
        const auto digest = digestFrom(parameters["digest"].asString());
        Json::Value out(Json::objectValue);
        if (!digest)
            return failure(error_code::InvalidArgument, "payload.get", "digest: expected 32 hex digits");
        // An answer without this member means that this instance does not have the payload.
        if (const auto found = m_store.get(run_id(parameters["run"].asString()), step_number(parameters["step"].asUInt64()), *digest))
            out["payload"] = std::string(*found);
        return out;
    });
    server.add("dropPayloads", [this](const Json::Value& parameters) -> result<Json::Value> {
        return Json::Value(Json::UInt64(m_store.dropBelow(run_id(parameters["run"].asString()), step_number(parameters["step"].asUInt64()))));
    });
}

std::vector<holder_candidate> payload_duty::holderCandidates() const
{
    std::vector<holder_candidate> out;
    for (const auto& instance : m_leases.live())
        out.push_back({ { instance.id, instance.incarnationNumber }, instance.failureDomain, false, false });
    return out;
}

std::vector<payload_holder> payload_duty::liveHolders() const
{
    std::vector<payload_holder> out;
    for (const auto& instance : m_leases.live())
        out.push_back({ instance.id, instance.incarnationNumber });
    return out;
}

void payload_duty::put(const run_id& run, step_number step, const std::vector<std::string>& payloads, put_function onDone)
{
    struct put_state {
        std::size_t open = 1;
        std::vector<payload_holder> confirmed;
        put_function onDone;
    };
    auto state = std::make_shared<put_state>();
    state->onDone = std::move(onDone);
    const auto finishOne = [state] {
        if (--state->open == 0)
            state->onDone(state->confirmed);
    };
    auto message = stepParameters(run, step);
    for (const auto& payload : payloads)
        message["payloads"].append(payload);
    const auto key = run.str() + "/" + std::to_string(step.value());
    for (const auto& holder : chooseHolders(key, holderCandidates(), copyCount)) {
        if (holder.instance == m_context.self) {
            const bool stored = std::all_of(payloads.begin(), payloads.end(), [&](const std::string& payload) { return m_store.put(run, step, payload).has_value(); });
            if (stored)
                state->confirmed.push_back({ m_context.self, m_context.incarnationNumber });
            continue;
        }
        const auto address = m_leases.addressOf(holder.instance);
        if (!address)
            continue;
        ++state->open;
        m_peers.call(
            *address, "putPayloads", message, [state, finishOne, instance = holder.instance](const result<Json::Value>& answer) {
                if (answer && answer->isUInt64())
                    state->confirmed.push_back({ instance, incarnation(answer->asUInt64()) });
                finishOne();
            },
            putTimeout);
    }
    finishOne();
}

void payload_duty::get(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, get_function onDone)
{
    if (const auto found = m_store.get(run, step, digest)) {
        onDone(std::string(*found));
        return;
    }
    getNext(run, step, digest, std::move(holders), false, std::move(onDone));
}

void payload_duty::getNext(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, bool unreachable, get_function onDone)
{
    // Step 1. Find a holder that is live.
    std::optional<std::string> address;
    while (!holders.empty() && !address) {
        const auto next = holders.back();
        holders.pop_back();
        if (next.instance != m_context.self)
            address = m_leases.addressOf(next.instance);
    }
    if (!address) {
        onDone(failure(unreachable ? error_code::Unavailable : error_code::NotFound, "payload.get", peer_kind::Instance, {}, toHex(digest)));
        return;
    }

    // Step 2. Fetch from it; continue with the others if it does not have the payload.
    auto parameters = stepParameters(run, step);
    parameters["digest"] = toHex(digest);
    m_peers.call(
        *address, "getPayload", parameters, [=, this, onDone = std::move(onDone)](const result<Json::Value>& answer) {
            if (answer && (*answer)["payload"].isString()) {
                auto payload = (*answer)["payload"].asString();
                if (digestOf(payload) == digest) {
                    onDone(std::move(payload));
                    return;
                }
            }
            getNext(run, step, digest, holders, unreachable || !answer, onDone);
        },
        getTimeout);
}

void payload_duty::dropBelow(const run_id& run, step_number below)
{
    m_store.dropBelow(run, below);
    for (const auto& instance : m_leases.live()) {
        if (instance.id != m_context.self)
            m_peers.call(instance.address, "dropPayloads", stepParameters(run, below), [](const result<Json::Value>&) {});
    }
}

} // namespace lovagerail::daemon
