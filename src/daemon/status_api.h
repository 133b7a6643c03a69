// Health, readiness, metrics, status, targets, burn rate and explain calls for operators and
// monitoring, with the counters and the decision journal behind them.
#pragma once

#include "burn.h"
#include "daemon/control_context.h"
#include "daemon/operator_duty.h"
#include "journal.h"

#include <memory>
#include <prometheus/registry.h>

namespace lovagerail::daemon {

class config_duty;
class peer_duty;
class target_duty;

class status_api {
public:
    status_api(control_context& context, config_duty& config, target_duty& targets, peer_duty& peers);

    void addTo(operator_duty& api);
    void setConfig(const config& inForce);

    // Recording.
    void count(const request_served& event) { m_burn.count(event, m_context.now); }
    void count(const sample_delivered& event) { m_burn.count(event, m_context.now); }
    void record(journal_entry entry) { m_journal.record(std::move(entry)); }
    void setServing(const serving_state& state) { m_serving = state; }
    burn_tracker& burn() { return m_burn; }
    decision_journal& journal() { return m_journal; }
    const serving_state& servingState() const { return m_serving; }

    using gather_function = std::function<void(const std::vector<Json::Value>&, const std::vector<std::string>& silent)>;
    // Calls a method on all other instances. `silent` names those that did not answer.
    void gather(const std::string& method, const Json::Value& parameters, gather_function onAll);

private:
    void status(const operator_call& call);
    void targets(const operator_call& call);
    void burnReport(const operator_call& call);
    void explain(const operator_call& call);
    void metrics(const operator_call& call);
    Json::Value ownStatus() const;
    void addPeerMethods();

    control_context& m_context;
    config_duty& m_config;
    target_duty& m_targets;
    peer_duty& m_peers;
    burn_tracker m_burn;
    decision_journal m_journal;
    serving_state m_serving;
};

} // namespace lovagerail::daemon
