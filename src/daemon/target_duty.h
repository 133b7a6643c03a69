// Polls the platform's lists of targets and instances, and passes the targets to the serving
// thread.
#pragma once

#include "daemon/control_context.h"
#include "provider/target_list.h"

namespace lovagerail::daemon {

class target_duty {
public:
    explicit target_duty(control_context& context);

    void tick();

    const std::vector<provider::platform_target>& targets() const { return m_targets; }
    // When the newest received list was requested; instant() before the first one.
    instant listRequestedAt() const { return m_listRequestedAt; }
    // Marks a target as draining before it is stopped: it gets no new requests. A mark is never
    // removed, as a draining target does not return; it is dropped when the target is unlisted.
    void markDraining(const target_id& target, incarnation incarnationNumber);
    const std::map<target_id, incarnation>& draining() const { return m_draining; }
    const std::vector<provider::listed_instance>& instances() const { return m_instances; }

private:
    void readTargets();
    void readInstances();
    listed_target routingRow(const provider::platform_target& row) const;
    void dropUnlistedMarks();
    void sendTargets();

    control_context& m_context;
    std::vector<provider::platform_target> m_targets;
    std::vector<provider::listed_instance> m_instances;
    config_ptr m_sentConfig; // configuration under which the targets were last sent to the serving thread
    std::map<target_id, incarnation> m_draining;
    instant m_listRequestedAt {};
    instant m_nextTargets {};
    instant m_nextInstances {};
    bool m_readingTargets = false;
    bool m_readingInstances = false;
};

} // namespace lovagerail::daemon
