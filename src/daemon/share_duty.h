// Sends marks of suspect requests to the other instances, and divides the accounts' limits
// between instances while this one holds the lease of the "account-shares" duty.
#pragma once

#include "account_limiter.h"
#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/peer_duty.h"

namespace lovagerail::daemon {

class share_duty {
public:
    share_duty(control_context& context, lease_duty& leases, peer_duty& peers);

    static const duty_id& duty();

    void tick();
    // Handle messages from the serving thread.
    void onMarks(const std::vector<blame_mark>& marks);
    void onDemand(const demand_report& report);

private:
    void sendShares();

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    share_allocator m_allocator;
    instant m_nextShares {};
    std::uint32_t m_sentCount = 0; // number of live instances last sent to the serving thread
};

} // namespace lovagerail::daemon
