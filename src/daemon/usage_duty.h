// Counts usage, keeps copies of other instances' counts, and closes windows while
// this instance holds that duty.
#pragma once

#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/operator_duty.h"
#include "daemon/peer_duty.h"
#include "usage.h"
#include "usage_window.h"

#include <optional>

namespace lovagerail::daemon {

class status_api;

class usage_duty {
public:
    usage_duty(control_context& context, lease_duty& leases, peer_duty& peers, status_api& status);

    static const duty_id& duty();

    void addTo(operator_duty& api);
    void count(const attempt_usage& event) { m_counter.count(event, m_context.wall); }
    void count(const refused_usage& event) { m_counter.count(event, m_context.wall); }
    void tick();
    // Counts that no other instance has are sent out now; for a planned stop.
    void flush();
    // True if all counts are held elsewhere.
    bool flushed() const;

private:
    void pushCopies();
    void saveCounters();
    void close();
    void act(const std::vector<closer_action>& actions);
    void act(const pull_usage& pull);
    void act(const read_prefix& read);
    void act(const commit_entries& commit);
    void act(const remove_range& range);
    void act(const report_usage& report);
    void usageRows(const operator_call& call);
    // Runs a step of the closer of this term, if it is still ours.
    template <typename Step>
    void inTerm(std::uint64_t term, Step step);

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    status_api& m_status;
    usage_settings m_settings;
    usage_counter m_counter;
    usage_copies m_copies;
    copy_sender m_sender;
    instant m_nextFlush {};
    std::map<instance_id, segment_number> m_acknowledged; // by copy holder
    std::optional<usage_closer> m_closer; // while the duty is ours
    std::uint64_t m_term = 0; // grows with each closer; late answers of an older one are dropped
    instant m_nextClose {};
    std::string m_savedCounters; // value under our counters key, empty = none
    bool m_saving = false;
};

} // namespace lovagerail::daemon
