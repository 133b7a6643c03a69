// Usage reports: the number of requests of each account per time window, summed over all
// instances and reported to the platform by the holder of usageDuty.
//
// After the end of a window the holder requests the counts of every member, seals the sum
// in the store by a create-only write, and reports the sealed counts. So no other counts are
// ever reported for that window; a repeated report by a successor is idempotent.
#pragma once

#include "edge/members.h"
#include "http/server.h"
#include "usage_tally.h"

#include <map>
#include <optional>
#include <set>

namespace lovagerail::edge {

inline const duty_id usageDuty { "usage" };

class usage_duty {
public:
    explicit usage_duty(context& shared);

    void setMembers(members& membership) { m_members = &membership; }
    // Counts a request of this account that began to run `ago` before now.
    void count(const client_account_id& account, duration ago);
    // Handles a request of another instance, which asks for our counts of a window (empty body) or
    // sends a copy of its own.
    void onPeerRequest(const http::exchange_ptr& exchange);
    void tick();
    // Whether all counts have been copied to other instances.
    bool allCopied() const { return m_changed.empty() && m_openCopies == 0; }

private:
    enum class window_stage {
        CollectingCounts,
        Sealing,
        Reporting,
        Done,
    };
    struct window_state {
        window_stage stage = window_stage::CollectingCounts;
        std::set<instance_id> answered; // members that answered
        usage_by_origin counts;
        std::set<instance_id> pendingRequests; // members whose answer is awaited
        instant nextRequestAt {};
        bool busy = false; // a seal or report is in flight
        instant retryAt {};
        usage_counts sealed;
    };

    void sendCopies();
    std::vector<member> copyHolders() const;
    void sendCopy(const member& holder, const std::string& body, const std::set<std::uint64_t>& windows);
    void advance(std::uint64_t window, window_state& state);
    void requestCounts(std::uint64_t window, window_state& state);
    void seal(std::uint64_t window, window_state& state);
    void report(std::uint64_t window, window_state& state);

    context& m_context;
    members* m_members = nullptr;
    usage_tally m_tally;
    std::optional<fencing_number> m_term; // fencing number under which m_windows was built
    instant m_termStart {};
    std::uint64_t m_nextWindow = 0; // first window that this term has not processed yet
    std::map<std::uint64_t, window_state> m_windows; // not reported yet

    std::set<std::uint64_t> m_changed; // windows whose latest counts have not been copied yet
    std::size_t m_openCopies = 0; // copies in flight
    instant m_nextCopy {};
    std::set<instance_id> m_copyHolders; // recipients of the last copies
    std::map<instance_id, instant> m_unresponsive; // instances that accepted no copy, and until when they are skipped
    bool m_leaving = false; // shutdown has begun: copies held for others are passed on, too
};

} // namespace lovagerail::edge
