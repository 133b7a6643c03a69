// Demand of the batches on all instances. Each instance periodically reports its own to
// the holder of targetsDuty, which plans capacity and weight versions from all reports, and
// answers with the shares of the engine pools that this instance's models get.
#pragma once

#include "demand_codec.h"
#include "edge/members.h"
#include "http/server.h"
#include "pool_shares.h"

#include <functional>
#include <map>
#include <vector>

namespace lovagerail::edge {

// The lease under which one instance at a time orders targets and gives orders to targets.
inline const duty_id targetsDuty { "targets" };

class demand_reports {
public:
    // The shares in the answer to request number `request`, which was sent at `sentAt`.
    using shares_function = std::function<void(std::uint64_t request, const granted_shares& granted, instant sentAt)>;

    demand_reports(context& shared, members& membership, shares_function onShares);

    bool isReportDue() const { return m_context.now >= m_nextReport; }
    // Reports the demand of this instance's batches to the holder of the duty, if it is due.
    void report(const std::vector<model_demand>& demand);
    // Handles the report of another instance.
    void onPeerRequest(const http::exchange_ptr& exchange);
    // All reports that have not expired, in one list.
    std::vector<model_demand> all() const;
    // The shares that this instance, as holder, gave last, by service. Those that have expired are dropped.
    const std::map<service_id, std::vector<slot_share>>& shares();

private:
    struct reported_demand {
        std::vector<model_demand> demand;
        instant at {};
        instant until {}; // expiry
    };

    granted_shares grant(const instance_id& owner);
    std::size_t liveSlots(const service_id& service) const;
    void logShares(const service_id& service, bool began, bool ended);
    void applyShares(std::uint64_t request, const granted_shares& granted, instant sentAt);

    context& m_context;
    members& m_members;
    shares_function m_onShares;
    std::map<instance_id, reported_demand> m_reports;
    std::map<service_id, pool_shares> m_pools;
    std::map<service_id, std::vector<slot_share>> m_shares;
    instant m_sharesUntil {};
    std::map<service_id, instant> m_nextLog;
    std::uint64_t m_requests = 0;
    bool m_limited = false; // this instance's own models, by the last answer
    instant m_nextReport {};
    bool m_lastReportHadWork = false;
};

} // namespace lovagerail::edge
