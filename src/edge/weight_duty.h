// Orders replicas to load the weight versions that trainers name, and answers requests
// to empty a machine; the duty of one instance.
#pragma once

#include "edge/demand_news.h"
#include "edge/knowledge.h"
#include "edge/members.h"
#include "weight_sets.h"

#include <map>
#include <optional>

namespace lovagerail::edge {

class weight_duty {
public:
    weight_duty(context& shared, members& group, const knowledge& known, const demand_news& demand);

    void tick();

private:
    void noteDemand(const model_demand& demand);
    void begin();
    void take(const kv_entry& entry);
    void retire(const kv_entry& entry);
    void refresh();
    void order(const service_id& service, const weight_load& load);
    void check(const service_id& service, const target_id& target);
    void askCount(const service_id& service, const weight_load& load);
    void sendOrder(const service_id& service, const weight_load& load, std::uint64_t ordersTaken);
    void settle(const service_id& service, const weight_load& load, load_outcome outcome, fencing_number term);

    context& m_context;
    members& m_members;
    const knowledge& m_known;
    const demand_news& m_demand;
    std::optional<fencing_number> m_term; // of the duty that the rest belongs to
    std::uint64_t m_watch = 0; // 0 = none
    bool m_reading = false;
    instant m_readAgain {};
    instant m_nextPlan {};
    std::map<model_id, weight_version> m_named;
    // How far behind the named version the newest batch of a model goes.
    struct known_lag {
        weight_version least;
        std::uint64_t lag = 0;
    };
    std::map<model_id, known_lag> m_lags;
    std::map<model_id, double> m_work; // tokens of a batch, smoothed over batches
    std::map<service_id, weight_sets> m_sets; // one for each service with models
    std::map<target_id, platform::target_entry> m_entries; // as listed last
    // Orders that a target has taken since its start, as far as they are known: an
    // order that names another count is refused, also one that is carried out late.
    struct order_count {
        incarnation life;
        std::uint64_t taken = 0;
    };
    std::map<target_id, order_count> m_taken;
};

} // namespace lovagerail::edge
