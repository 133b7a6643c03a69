// Status reports of this instance, and of all instances by gathering theirs.
#include "daemon/status_api.h"

#include "burn_report.h"
#include "daemon/config_duty.h"
#include "daemon/peer_duty.h"
#include "daemon/target_duty.h"
#include "http_status.h"
#include "log.h"
#include "serving_edge.h"

#include <fstream>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

namespace lovagerail::daemon {

namespace {

    constexpr std::chrono::milliseconds gatherTimeout { 1000 };

    // Resident memory of this process in bytes.
    double residentBytes()
    {
        std::ifstream in("/proc/self/statm");
        std::uint64_t pages = 0;
        std::uint64_t resident = 0;
        in >> pages >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    std::string stateName(target_state state)
    {
        switch (state) {
        case target_state::Starting:
            return "starting";
        case target_state::Live:
            return "live";
        case target_state::Leaving:
            return "leaving";
        case target_state::Gone:
            return "gone";
        }
        return "gone";
    }

} // namespace

status_api::status_api(control_context& context, config_duty& config, target_duty& targets, peer_duty& peers)
    : m_context(context)
    , m_config(config)
    , m_targets(targets)
    , m_peers(peers)
    , m_journal(context.self)
{
    addPeerMethods();
}

void status_api::setConfig(const config& inForce)
{
    m_burn.setBounds(burnBounds(inForce));
}

void status_api::addTo(operator_duty& api)
{
    api.addPublic("/healthz", [](const operator_call& call) { call.exchange->answer(statusOk, {}, "ok\n"); });
    api.addPublic("/readyz", [this](const operator_call& call) {
        const bool ready = m_config.isKnown() && !m_context.draining;
        call.exchange->answer(ready ? statusOk : statusUnavailable, {}, ready ? "ready\n" : m_context.draining ? "draining\n"
                                                                                                               : "no configuration yet\n");
    });
    api.addPublic("/metrics", [this](const operator_call& call) { metrics(call); });
    api.add("GET", "/v1/status", operator_scope::Read, [this](const operator_call& call) { status(call); });
    api.add("GET", "/v1/targets", operator_scope::Read, [this](const operator_call& call) { targets(call); });
    api.add("GET", "/v1/burn", operator_scope::Read, [this](const operator_call& call) { burnReport(call); });
    api.add("GET", "/v1/explain", operator_scope::Read, [this](const operator_call& call) { explain(call); });
    api.add("POST", "/v1/log", operator_scope::Write, [](const operator_call& call) {
        log_level level = log_level::Info;
        if (!call.body["level"].isString() || !parseLogLevel(call.body["level"].asString(), level)) {
            answerError(call.exchange, { error_code::InvalidArgument, "operator.log", peer_kind::Operator, {}, "level: expected debug, info, warning or error" });
            return;
        }
        setLogLevel(level);
        Json::Value body(Json::objectValue);
        body["level"] = std::string(toString(level));
        answerJson(call.exchange, statusOk, body);
    });
}

// Registers the calls that other instances may make.
void status_api::addPeerMethods()
{
    auto& server = m_peers.server();
    server.add("status", [this](const Json::Value&) -> result<Json::Value> { return ownStatus(); });
    server.add("burn", [this](const Json::Value&) -> result<Json::Value> { return toJson(m_burn.statistics(m_context.now)); });
    server.add("explain", [this](const Json::Value& parameters) -> result<Json::Value> {
        const auto kind = parseSubjectKind(parameters["kind"].asString());
        if (!kind)
            return tl::unexpected(kind.error());
        return toJson(m_journal.about(*kind, parameters["subject"].asString()));
    });
}

void status_api::gather(const std::string& method, const Json::Value& parameters, gather_function onAll)
{
    struct gathering {
        std::size_t open = 0;
        std::vector<Json::Value> answers;
        std::vector<std::string> silent;
        gather_function onAll;
    };
    auto state = std::make_shared<gathering>();
    state->onAll = std::move(onAll);
    state->open = 1;
    const auto finishOne = [state] {
        if (--state->open == 0)
            state->onAll(state->answers, state->silent);
    };
    for (const auto& instance : m_targets.instances()) {
        if (instance.id == m_context.self)
            continue;
        ++state->open;
        m_peers.call(
            instance.address, method, parameters, [state, finishOne, name = instance.id.str()](const result<Json::Value>& answer) {
                if (answer)
                    state->answers.push_back(*answer);
                else
                    state->silent.push_back(name);
                finishOne();
            },
            gatherTimeout);
    }
    finishOne();
}

Json::Value status_api::ownStatus() const
{
    Json::Value out(Json::objectValue);
    out["instance"] = m_context.self.str();
    out["failure_domain"] = m_context.values.instance.failureDomain;
    out["incarnation"] = Json::UInt64(m_context.incarnationNumber.value());
    out["revision"] = Json::UInt64(m_context.inForce->at().value());
    out["draining"] = m_context.draining;
    out["key_value_available"] = m_context.kv.available();
    out["open_requests"] = Json::UInt64(m_serving.open);
    out["requests"] = Json::UInt64(m_serving.counts.requests);
    out["resident_bytes"] = residentBytes();
    return out;
}

void status_api::status(const operator_call& call)
{
    gather("status", Json::Value(Json::objectValue), [this, exchange = call.exchange](const std::vector<Json::Value>& answers, const std::vector<std::string>& silent) {
        Json::Value body(Json::objectValue);
        body["instances"].append(ownStatus());
        for (const auto& answer : answers)
            body["instances"].append(answer);
        body["silent"] = Json::Value(Json::arrayValue);
        for (const auto& name : silent)
            body["silent"].append(name);
        answerJson(exchange, statusOk, body);
    });
}

void status_api::targets(const operator_call& call)
{
    Json::Value body(Json::objectValue);
    body["targets"] = Json::Value(Json::arrayValue);
    for (const auto& row : m_targets.targets()) {
        Json::Value item(Json::objectValue);
        item["id"] = row.routing.id.str();
        item["pool"] = row.routing.pool.str();
        item["address"] = row.routing.address;
        item["failure_domain"] = row.routing.failureDomain.str();
        item["kind"] = row.routing.supply == supply_kind::Cheap ? "cheap" : "firm";
        item["state"] = stateName(row.routing.state);
        item["incarnation"] = Json::UInt64(row.routing.incarnation.value());
        body["targets"].append(item);
    }
    answerJson(call.exchange, statusOk, body);
}

void status_api::burnReport(const operator_call& call)
{
    const auto formatQuery = call.query.find("format");
    const std::string format = formatQuery == call.query.end() ? "json" : formatQuery->second;
    gather("burn", Json::Value(Json::objectValue), [this, exchange = call.exchange, format](const std::vector<Json::Value>& answers, const std::vector<std::string>& silent) {
        auto table = m_burn.statistics(m_context.now);
        for (const auto& answer : answers) {
            if (const auto peerTable = burnTableFromJson(answer))
                merge(table, *peerTable);
        }
        const auto report = makeBurnReport(table);
        const burn_page_header header { m_context.wall, answers.size() + silent.size() + 1, answers.size() + 1 };
        if (format == "html")
            exchange->answer(statusOk, { { "Content-Type", "text/html; charset=utf-8" } }, burnHtml(report, header));
        else if (format == "table")
            exchange->answer(statusOk, { { "Content-Type", "text/plain; charset=utf-8" } }, burnText(report, header));
        else
            answerJson(exchange, statusOk, burnJson(report, header));
    });
}

void status_api::explain(const operator_call& call)
{
    const auto kind = call.query.find("kind");
    const auto subject = call.query.find("subject");
    if (kind == call.query.end() || subject == call.query.end()) {
        answerError(call.exchange, { error_code::InvalidArgument, "operator.explain", peer_kind::Operator, {}, "expected kind and subject" });
        return;
    }
    const auto parsed = parseSubjectKind(kind->second);
    if (!parsed) {
        answerError(call.exchange, parsed.error());
        return;
    }
    Json::Value parameters(Json::objectValue);
    parameters["kind"] = kind->second;
    parameters["subject"] = subject->second;
    auto localEntries = m_journal.about(*parsed, subject->second);
    gather("explain", parameters, [exchange = call.exchange, localEntries = std::move(localEntries)](const std::vector<Json::Value>& answers, const std::vector<std::string>& silent) {
        std::vector<std::vector<journal_entry>> all { localEntries };
        for (const auto& answer : answers) {
            if (auto entries = journalFromJson(answer))
                all.push_back(std::move(*entries));
        }
        Json::Value body(Json::objectValue);
        body["entries"] = toJson(mergeJournals(all));
        for (const auto& name : silent)
            body["silent"].append(name);
        answerJson(exchange, statusOk, body);
    });
}

// Built for each scrape from the counters of the duties.
void status_api::metrics(const operator_call& call)
{
    prometheus::Registry registry;
    const auto gauge = [&registry](const char* name, const char* help, double value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    };
    const auto counter = [&registry](const char* name, const char* help, std::uint64_t value) {
        prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
    };
    const auto& counts = m_serving.counts;
    gauge("lovagerail_config_revision", "Revision of the configuration in force", static_cast<double>(m_context.inForce->at().value()));
    gauge("lovagerail_open_requests", "Requests under way", static_cast<double>(m_serving.open));
    gauge("lovagerail_resident_bytes", "Resident memory", residentBytes());
    gauge("lovagerail_key_value_available", "1 if the key-value service answers", m_context.kv.available() ? 1 : 0);
    counter("lovagerail_requests_total", "Requests that came", counts.requests);
    counter("lovagerail_requests_answered_total", "Requests with a whole answer", counts.answered);
    counter("lovagerail_requests_refused_total", "Requests refused as not run", counts.refused);
    counter("lovagerail_requests_failed_total", "Requests that ended without an answer after they may have run", counts.failed);
    counter("lovagerail_attempts_retried_total", "Attempts that were tried again from the beginning", counts.retried);
    counter("lovagerail_attempts_resumed_total", "Attempts that went on from tokens made elsewhere", counts.resumed);
    counter("lovagerail_answers_crossed_total", "Answers that named another attempt", counts.crossed);
    counter("lovagerail_requests_cancelled_total", "Requests whose caller hung up", counts.cancelled);
    counter("lovagerail_key_value_calls_total", "Calls to the key-value service", m_context.kv.counts().calls);
    counter("lovagerail_key_value_watches_total", "Watches opened at the key-value service", m_context.kv.counts().watches);
    counter("lovagerail_key_value_unavailable_total", "Calls that the service surely did not take", m_context.kv.counts().unavailable);
    counter("lovagerail_key_value_unknown_total", "Calls whose answer was lost", m_context.kv.counts().unknown);
    counter("lovagerail_key_value_stale_total", "Answers with an older revision than seen before", m_context.kv.counts().stale);

    auto& burnGauge = prometheus::BuildGauge().Name("lovagerail_burn_rate").Help("Burn rate of the error budget; 1 spends it exactly").Register(registry);
    for (const auto& row : makeBurnReport(m_burn.statistics(m_context.now)).rows) {
        for (std::size_t window = 0; window < burnWindows; ++window) {
            constexpr double perMilli = 1000;
            burnGauge.Add({ { "account", row.key.scope.account.str() }, { "pool", row.key.scope.pool.str() }, { "objective", std::string(toString(row.key.objective)) },
                              { "window", std::string(toString(static_cast<burn_window>(window))) } })
                .Set(static_cast<double>(row.burnMilli[window]) / perMilli);
        }
    }
    call.exchange->answer(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, prometheus::TextSerializer().Serialize(registry.Collect()));
}

} // namespace lovagerail::daemon
