// Counts usage, stores copies of other instances' counts, and closes usage windows while this
// instance holds the lease of the "usage-closer" duty.
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
    // Sends counts that no other instance has without waiting for the flush interval; used for a
    // graceful shutdown.
    void flush();
    // True if all counts are stored outside of this instance.
    bool flushed() const;

private:
    void pushCopies();
    void saveCounters();
    void runCloser();
    void execute(const std::vector<closer_action>& actions);
    void execute(const pull_usage& pull);
    void execute(const read_prefix& read);
    void execute(const commit_entries& commit);
    void execute(const remove_range& range);
    void execute(const report_usage& report);
    void answerUsage(const operator_call& call);
    // Runs a step on the closer if the term is still current.
    template <typename Step>
    void ifCurrentTerm(std::uint64_t term, Step step);

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
    std::optional<usage_closer> m_closer; // only while this instance holds the duty
    std::uint64_t m_term = 0; // incremented with each gain and loss; late answers of an older term are dropped
    instant m_nextClose {};
    std::string m_savedCounters; // value stored under the counters key; empty = none
    bool m_saveInFlight = false;
};

} // namespace lovagerail::daemon
