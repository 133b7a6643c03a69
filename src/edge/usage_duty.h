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
    // Another instance asks for what we know of a window, or leaves a copy of its counts.
    void onPeer(const http::exchange_ptr& exchange);
    void tick();
    // Copies of all that we counted are where they should be.
    bool copied() const { return m_changed.empty() && m_copying == 0; }

private:
    enum class stage {
        Asking,
        Sealing,
        Reporting,
        Done,
    };
    struct open_window {
        stage at = stage::Asking;
        std::set<instance_id> got; // members that answered
        usage_by_origin counts;
        std::set<instance_id> asked; // answers are under way
        instant askAgain {};
        bool busy = false; // a seal or report is under way
        instant again {};
        usage_counts sealed;
    };

    void copyOut();
    std::vector<member> keepers() const;
    void sendCopy(const member& to, const std::string& body, const std::set<std::uint64_t>& windows);
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

    std::set<std::uint64_t> m_changed; // windows whose newest counts have not been sent to the keepers
    std::size_t m_copying = 0; // copies under way
    instant m_nextCopy {};
    std::set<instance_id> m_keepers; // that were sent copies last
    std::map<instance_id, instant> m_silent; // didn't take a copy; passed over until then
    bool m_leaving = false; // a stop has begun, and copies of others' counts are passed on
};

} // namespace lovagerail::edge
