// Usage of all instances, reported once a window by the holder of the duty.
//
// The holder asks every member for its counts of an ended window, seals the sum by a
// create-only write and reports what was sealed, so that nobody ever reports other
// figures for it. A successor reports the sealed figures again, which changes nothing.
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

    void setMembers(members& group) { m_members = &group; }
    // A request of this account began to run this long ago.
    void count(const client_account_id& account, duration ago);
    // Another instance asks for our counts.
    void onPeer(const http::exchange_ptr& exchange) const;
    void tick();

private:
    enum class stage {
        Asking,
        Sealing,
        Reporting,
        Done,
    };
    struct open_window {
        stage at = stage::Asking;
        std::map<instance_id, usage_counts> got;
        std::set<instance_id> asked; // answers are under way
        instant askAgain {};
        bool busy = false; // a seal or report is under way
        instant again {};
        usage_counts sealed;
    };

    void drive(std::uint64_t window, open_window& state);
    void ask(std::uint64_t window, open_window& state);
    void seal(std::uint64_t window, open_window& state);
    void report(std::uint64_t window, open_window& state);

    context& m_context;
    members* m_members = nullptr;
    usage_tally m_tally;
    std::optional<fencing_number> m_term; // of the duty that m_windows belongs to
    instant m_termBegan {};
    std::uint64_t m_next = 0; // first window not opened in this term
    std::map<std::uint64_t, open_window> m_windows; // not reported yet
};

} // namespace lovagerail::edge
