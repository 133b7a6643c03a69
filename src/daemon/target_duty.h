// Follows the platform's lists of targets and instances, and tells the serving
// thread of targets.
#pragma once

#include "daemon/control_context.h"
#include "provider/target_list.h"

namespace lovagerail::daemon {

class target_duty {
public:
    explicit target_duty(control_context& context);

    void tick();

    const std::vector<provider::platform_target>& targets() const { return m_targets; }
    // When the newest list was asked for; never before the first.
    instant listAskedAt() const { return m_listAskedAt; }
    // Targets that are being emptied before they are stopped: nothing new goes there.
    // For good, as a target never comes back from leaving; forgotten once unlisted.
    void markLeaving(const target_id& target, incarnation seen);
    const std::map<target_id, incarnation>& leaving() const { return m_leaving; }
    const std::vector<provider::listed_instance>& instances() const { return m_instances; }

private:
    void readTargets();
    void readInstances();
    listed_target routingRow(const provider::platform_target& row) const;
    void forgetLeft();
    void tellServing();

    control_context& m_context;
    std::vector<provider::platform_target> m_targets;
    std::vector<provider::listed_instance> m_instances;
    config_ptr m_toldUnder; // configuration under which rows were told last
    std::map<target_id, incarnation> m_leaving;
    instant m_listAskedAt {};
    instant m_nextTargets {};
    instant m_nextInstances {};
    bool m_readingTargets = false;
    bool m_readingInstances = false;
};

} // namespace lovagerail::daemon
