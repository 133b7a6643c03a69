// Orders replicas to load the weight versions that trainers name, and answers requests
// to empty a machine; the duty of one instance.
#pragma once

#include "edge/knowledge.h"
#include "edge/members.h"
#include "weight_sets.h"

#include <map>
#include <optional>

namespace lovagerail::edge {

inline const duty_id weightDuty { "weights" };

class weight_duty {
public:
    weight_duty(context& shared, members& group, const target_list& targets);

    void tick();

private:
    void begin();
    void take(const kv_entry& entry);
    void retire(const kv_entry& entry);
    void refresh();
    void order(const service_id& service, const weight_load& load);

    context& m_context;
    members& m_members;
    const target_list& m_targets;
    std::optional<fencing_number> m_term; // of the duty that the rest belongs to
    std::uint64_t m_watch = 0; // 0 = none
    bool m_reading = false;
    instant m_readAgain {};
    instant m_nextPlan {};
    std::map<model_id, weight_version> m_named;
    std::map<service_id, weight_sets> m_sets; // one for each service with models
    std::map<target_id, platform::target_entry> m_entries; // as listed last
};

} // namespace lovagerail::edge
