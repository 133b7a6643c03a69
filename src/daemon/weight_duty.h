// Rolls out weight versions to the engines of each model whose lease this instance holds. The
// version is the one that operators pinned by the label serving=true, else the newest one that
// they configured or that the trainer of a run published.
#pragma once

#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/operator_duty.h"
#include "daemon/peer_duty.h"
#include "daemon/target_duty.h"
#include "weights.h"

#include <map>
#include <set>

namespace lovagerail::daemon {

class weight_duty {
public:
    weight_duty(control_context& context, lease_duty& leases, peer_duty& peers, target_duty& targets);

    std::set<duty_id> duties() const;
    void addTo(operator_duty& api);
    void tick();
    // A trainer published a version: notes it and tells the holder of the model's duty.
    void onVersionPublished(const model_id& model, weight_version version);

private:
    struct active_model {
        version_rollout rollout;
        fencing_number fencing;
        instant nextPoll {};
        std::map<target_id, replica_report> reports;
        std::set<target_id> polling;
        instant wantedSince {}; // when the wanted version last changed
        weight_version loggedVersion; // last version logged as complete
    };
    using model_ptr = std::shared_ptr<active_model>;

    static duty_id dutyOf(const model_id& model) { return duty_id("weights-" + model.str()); }
    weight_version wantedVersionOf(const model_id& model) const;
    void advanceRollout(const model_id& model, const model_ptr& item);
    void poll(const model_id& model, const model_ptr& item);
    void execute(const model_id& model, const model_ptr& item, const std::vector<rollout_action>& actions);
    bool isCurrent(const model_id& model, const model_ptr& item) const;
    Json::Value stateOf(const model_id& model, const active_model& item) const;

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    target_duty& m_targets;
    std::map<model_id, model_ptr> m_models;
    std::map<model_id, weight_version> m_published; // the newest version known per model
    instant m_nextTick {};
};

} // namespace lovagerail::daemon
