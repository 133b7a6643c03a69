// Demand of the batches on all instances. Each instance periodically reports its own to
// the holder of targetsDuty, which plans capacity and weight versions from all reports.
#pragma once

#include "batch_runner.h"
#include "edge/members.h"
#include "http/server.h"

#include <map>
#include <vector>

namespace lovagerail::edge {

// The lease under which one instance at a time orders targets and gives orders to targets.
inline const duty_id targetsDuty { "targets" };

class demand_reports {
public:
    demand_reports(context& shared, members& membership);

    // Reports the demand of this instance's batches to the holder of the duty.
    void report(const std::vector<model_demand>& demand);
    // Handles the report of another instance.
    void onPeerRequest(const http::exchange_ptr& exchange);
    // All reports that have not expired, in one list.
    std::vector<model_demand> all() const;

private:
    struct reported_demand {
        std::vector<model_demand> demand;
        instant until {}; // expiry
    };

    context& m_context;
    members& m_members;
    std::map<instance_id, reported_demand> m_reports;
    instant m_nextReport {};
    bool m_lastReportHadWork = false;
};

} // namespace lovagerail::edge
