// Follows the platform's lists of targets and instances, and tells the serving
// thread of targets.
#pragma once

#include "daemon/control_context.h"
#include "platform/target_list.h"

namespace lovagerail::daemon {

class target_duty {
public:
    explicit target_duty(control_context& context);

    void tick();

    const std::vector<platform::platform_target>& targets() const { return m_targets; }
    const std::vector<platform::listed_instance>& instances() const { return m_instances; }

private:
    void readTargets();
    void readInstances();
    listed_target routingRow(const platform::platform_target& row) const;
    void tellServing();

    control_context& m_context;
    std::vector<platform::platform_target> m_targets;
    std::vector<platform::listed_instance> m_instances;
    config_ptr m_toldUnder; // configuration under which rows were told last
    instant m_nextTargets {};
    instant m_nextInstances {};
    bool m_readingTargets = false;
    bool m_readingInstances = false;
};

} // namespace lovagerail::daemon
