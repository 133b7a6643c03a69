// Connects the weight rollouts (weights.h) to the engines and the other instances.
#include "daemon/weight_duty.h"

#include "http_status.h"
#include "log.h"
#include "target/engine_api.h"
#include "target/order_codec.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr duration tickInterval = std::chrono::milliseconds(50);
    constexpr duration busyPollInterval = std::chrono::milliseconds(200); // while not all engines serve the wanted version
    constexpr duration idlePollInterval = std::chrono::seconds(2);
    constexpr std::chrono::milliseconds pollTimeout { 1500 };
    constexpr std::string_view weightDutyPrefix = "weights-";

} // namespace

weight_duty::weight_duty(control_context& context, lease_duty& leases, peer_duty& peers, target_duty& targets)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
    , m_targets(targets)
{
    m_leases.onGained([this](const duty_id& duty, fencing_number fencing) {
        if (duty.str().rfind(weightDutyPrefix, 0) != 0)
            return;
        const model_id model(duty.str().substr(weightDutyPrefix.size()));
        rollout_settings rolloutSettings;
        rolloutSettings.model = model;
        rolloutSettings.fencing = fencing;
        m_models[model] = std::make_shared<active_model>(active_model { version_rollout(rolloutSettings), fencing, {}, {}, {}, {}, {} });
    });
    m_leases.onLost([this](const duty_id& duty, fencing_number) {
        if (duty.str().rfind(weightDutyPrefix, 0) == 0)
            m_models.erase(model_id(duty.str().substr(weightDutyPrefix.size())));
    });
    m_peers.server().add("publishedVersion", [this](const Json::Value& parameters) -> result<Json::Value> {
        auto& newest = m_published[model_id(parameters["model"].asString())];
        newest = std::max(newest, weight_version(parameters["version"].asUInt64()));
        return Json::Value(true);
    });
}

std::set<duty_id> weight_duty::duties() const
{
    std::set<duty_id> out;
    for (const auto& pool : m_context.inForce->all<target_pool>().sorted()) {
        if (pool->kind == pool_kind::Engine && !pool->model.empty())
            out.insert(dutyOf(pool->model));
    }
    return out;
}

void weight_duty::onVersionPublished(const model_id& model, weight_version version)
{
    auto& newest = m_published[model];
    newest = std::max(newest, version);
    m_leases.findHolder(dutyOf(model), [this, model, version](const result<duty_holder>& holder) {
        if (!holder || holder->instance == m_context.self)
            return;
        const auto address = m_leases.addressOf(holder->instance);
        if (!address)
            return;
        Json::Value parameters(Json::objectValue);
        parameters["model"] = model.str();
        parameters["version"] = Json::UInt64(version.value());
        m_peers.call(*address, "publishedVersion", parameters, [](const result<Json::Value>&) {});
    });
}

weight_version weight_duty::wantedVersionOf(const model_id& model) const
{
    weight_version pinned;
    weight_version newest;
    for (const auto& object : m_context.inForce->all<model_version>().sorted()) {
        if (object->model != model)
            continue;
        newest = std::max(newest, object->version);
        const auto serving = object->meta.labels.find("serving");
        if (serving != object->meta.labels.end() && serving->second == "true")
            pinned = std::max(pinned, object->version);
    }
    if (pinned != weight_version())
        return pinned;
    const auto fromTrainer = m_published.find(model);
    return fromTrainer == m_published.end() ? newest : std::max(newest, fromTrainer->second);
}

bool weight_duty::isCurrent(const model_id& model, const model_ptr& item) const
{
    const auto found = m_models.find(model);
    return found != m_models.end() && found->second == item;
}

void weight_duty::tick()
{
    if (m_context.now < m_nextTick)
        return;
    m_nextTick = m_context.now + tickInterval;
    const auto models = m_models;
    for (const auto& [model, item] : models)
        advanceRollout(model, item);
}

void weight_duty::advanceRollout(const model_id& model, const model_ptr& item)
{
    // Step 1. The versions that the engines serve, and the version that they should serve.
    poll(model, item);
    std::vector<replica_report> reports;
    for (const auto& [id, report] : item->reports)
        reports.push_back(report);
    const auto previousVersion = item->rollout.wanted();
    item->rollout.setWanted(wantedVersionOf(model), m_context.values.platform.weights);
    item->rollout.setReplicas(reports, m_context.now);
    if (item->rollout.wanted() != previousVersion)
        item->wantedSince = m_context.now;

    // Step 2. Send orders, while this instance holds the duty and after all orders of an earlier
    // holder have ended.
    const auto lease = m_leases.holds(dutyOf(model));
    if (!lease || m_context.now < lease->ordersFrom)
        return;
    execute(model, item, item->rollout.tick(m_context.now));
    if (item->rollout.wanted() != weight_version() && item->rollout.replicas() > 0 && item->rollout.complete() && item->loggedVersion != item->rollout.wanted()) {
        item->loggedVersion = item->rollout.wanted();
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - item->wantedSince);
        logEvent(log_level::Info, "weights", "complete",
            { { "model", model.str() }, { "version", std::to_string(item->loggedVersion.value()) }, { "replicas", std::to_string(item->rollout.replicas()) }, { "ms", std::to_string(elapsed.count()) } });
    }
}

// Requests load reports from the live engines of the model.
void weight_duty::poll(const model_id& model, const model_ptr& item)
{
    if (m_context.now < item->nextPoll)
        return;
    item->nextPoll = m_context.now + (item->rollout.complete() ? idlePollInterval : busyPollInterval);
    std::set<target_id> live;
    for (const auto& row : m_targets.targets()) {
        const auto* pool = m_context.inForce->findPool(row.routing.pool);
        if (pool == nullptr || pool->kind != pool_kind::Engine || pool->model != model || row.routing.state != target_state::Live)
            continue;
        const auto id = row.routing.id;
        live.insert(id);
        if (!item->polling.insert(id).second)
            continue;
        http::request request;
        request.url = row.routing.address + "/load";
        request.totalTimeout = pollTimeout;
        m_context.platform.call(std::move(request), [this, model, item, id, address = row.routing.address](const http::answer& answer) {
            item->polling.erase(id);
            if (!isCurrent(model, item) || answer.outcome != http::transfer_result::Complete || answer.status != statusOk)
                return;
            const auto report = target::decodeLoad(answer.body, id, m_context.now, m_context.wall);
            if (report)
                item->reports[id] = replica_report { id, address, report->incarnation, report->model == model ? report->version : weight_version() };
        });
    }
    std::erase_if(item->reports, [&live](const auto& entry) { return !live.contains(entry.first); });
}

void weight_duty::execute(const model_id& model, const model_ptr& item, const std::vector<rollout_action>& actions)
{
    for (const auto& action : actions) {
        http::request request;
        target_id target;
        std::string orderId;
        if (const auto* order = std::get_if<swap_order>(&action)) {
            request = target::loadVersionRequest(*order, model, item->fencing);
            target = order->target;
            orderId = order->orderId;
        } else {
            const auto& query = std::get<query_swap_order>(action);
            request = target::queryRequest(query);
            target = query.target;
            orderId = query.orderId;
        }
        m_context.platform.call(std::move(request), [this, model, item, target, orderId](const http::answer& answer) {
            if (isCurrent(model, item))
                item->rollout.onOrder(target, orderId, target::decodeOrderAnswer(answer), m_context.now);
        });
    }
}

Json::Value weight_duty::stateOf(const model_id& model, const active_model& item) const
{
    Json::Value out(Json::objectValue);
    out["model"] = model.str();
    out["instance"] = m_context.self.str();
    out["wanted"] = Json::UInt64(item.rollout.wanted().value());
    out["replicas"] = Json::UInt64(item.rollout.replicas());
    out["current"] = Json::UInt64(item.rollout.current());
    return out;
}

void weight_duty::addTo(operator_duty& api)
{
    api.add("GET", "/v1/weights", operator_scope::Read, [this](const operator_call& call) {
        Json::Value body(Json::objectValue);
        body["weights"] = Json::Value(Json::arrayValue);
        for (const auto& [model, item] : m_models)
            body["weights"].append(stateOf(model, *item));
        answerJson(call.exchange, statusOk, body);
    });
}

} // namespace lovagerail::daemon
