// Work that batches of all instances want done, as the holder of the duties over
// targets knows it: each instance tells what its own batches need.
#pragma once

#include "batch_board.h"
#include "edge/members.h"
#include "http/server.h"

#include <map>
#include <vector>

namespace lovagerail::edge {

// Orders to targets and for targets are given by one instance.
inline const duty_id targetsDuty { "targets" };

class demand_news {
public:
    demand_news(context& shared, members& group);

    // What our own batches need; goes to the holder of the duty.
    void tell(const std::vector<model_demand>& demand);
    // The same from another instance.
    void onPeer(const http::exchange_ptr& exchange);
    // What was told lately, of all instances.
    std::vector<model_demand> all() const;

private:
    struct told {
        std::vector<model_demand> demand;
        instant until {}; // forgotten then
    };

    context& m_context;
    members& m_members;
    std::map<instance_id, told> m_told;
    instant m_nextTell {};
    bool m_toldWork = false; // the last news had any
};

} // namespace lovagerail::edge
