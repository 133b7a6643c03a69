// Autoscaling: orders targets from the platform for services whose number of targets
// follows their load. Runs only on the instance that holds the lease of targetsDuty.
#pragma once

#include "capacity_orders.h"
#include "edge/demand_reports.h"
#include "edge/members.h"
#include "edge/platform_view.h"

#include <map>
#include <optional>

namespace lovagerail::edge {

class capacity_duty {
public:
    capacity_duty(context& shared, members& membership, const platform_view& platformView, const demand_reports& demand);

    void tick();

private:
    capacity_orders& ordersFor(const site_service& service);
    std::vector<capacity_target> targetsOf(const service_id& service) const;
    demand_sample demandOf(const site_service& service) const;
    bool isResumable(const service_id& service) const;
    void send(const site_service& service, const place_order& order);

    context& m_context;
    members& m_members;
    const platform_view& m_platformView;
    const demand_reports& m_demand;
    std::optional<fencing_number> m_term; // fencing number under which the state below was built; reset on a new one
    instant m_termStart {};
    instant m_nextPlan {};
    std::map<service_id, capacity_orders> m_orders;
};

} // namespace lovagerail::edge
