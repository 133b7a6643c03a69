// Orders targets from the platform for services that grow and shrink with their work;
// the duty of one instance.
#pragma once

#include "capacity_orders.h"
#include "edge/demand_news.h"
#include "edge/knowledge.h"
#include "edge/members.h"

#include <map>
#include <optional>

namespace lovagerail::edge {

class capacity_duty {
public:
    capacity_duty(context& shared, members& group, const knowledge& known, const demand_news& demand);

    void tick();

private:
    capacity_orders& ordersFor(const site_service& service);
    std::vector<capacity_target> targetsOf(const service_id& service) const;
    demand_sample demandOf(const site_service& service) const;
    bool isResumable(const service_id& service) const;
    void send(const site_service& service, const place_order& order);

    context& m_context;
    members& m_members;
    const knowledge& m_known;
    const demand_news& m_demand;
    std::optional<fencing_number> m_term; // of the duty that the rest belongs to
    instant m_termBegan {};
    instant m_nextPlan {};
    std::map<service_id, capacity_orders> m_orders;
};

} // namespace lovagerail::edge
