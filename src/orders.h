// Orders to the platform: intents first, each at most once, and what became of them.
//
// One process orders at a time, the holder of the duty. Before an order is sent
// its intent is written by compare-and-swap under the holder's fencing number;
// the transaction fails once somebody else has the duty. The id of an intent is
// the id of the order, and the platform takes an id once. So a lost answer is
// asked about and the same id sent again, and no intent starts two targets.
//
// A new holder first reads the intents and a fresh list, counts what its
// predecessors left unsettled, and asks about it when no order of theirs can be
// under way any more; one that never reached the platform is dropped. Where the
// peers ignore fencing numbers, its first own order waits as long. An intent is
// removed when the list shows what it led to, so that each target is in the list
// or in an intent at any time.
//
// Costs: an event about one order is O(log n); a list of n targets O(n log n).
#pragma once

#include "lease.h"
#include "objects.h"
#include "router_policy.h"
#include "target_table.h"

#include <deque>
#include <map>
#include <set>

namespace lovagerail {

constexpr std::string_view intentPrefix = "/lovagerail/orders/intents/";

using order_id = name_id<struct order_tag>;

enum class order_action {
    Start,
    Stop,
};
std::string_view toString(order_action action);

struct order_intent {
    order_id id;
    order_action action = order_action::Start;
    pool_id pool;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_id target; // of a stop
    fencing_number fencing; // of the holder that wrote it
};
std::string intentValue(const order_intent& intent);
result<order_intent> parseIntent(const order_id& id, std::string_view value);

struct order_settings {
    duty_id duty { "orders" };
    duration retryAfter = std::chrono::milliseconds(500); // of a failed call
    duration askEvery = std::chrono::seconds(2); // about an order under way
    duration backOff = std::chrono::seconds(5); // after the first unobtainable
    duration longestBackOff = std::chrono::minutes(5);
    // Accepted orders that the list doesn't show by then are ghosts; longer than
    // the longest lag of the list and the longest start.
    duration ghostAfter = std::chrono::minutes(3);
    std::size_t openOrders = 8; // under way at the same time
};

// A row of the platform's list, as far as orders go.
struct ordered_target {
    target_id id;
    pool_id pool;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_state state = target_state::Live;
    order_id order; // that started it; empty = none
};

// --- What to do ---

struct read_intents { };
struct write_intent {
    order_id id;
    kv_transaction change;
};
struct remove_intent {
    order_id id;
    kv_transaction change;
};
struct send_order {
    order_intent intent;
    fencing_number fencing;
};
struct ask_about_order {
    order_id id;
};
// Somebody else has the duty: give it up and order nothing more.
struct resign_orders {
    std::string why;
};
// For the journal.
struct order_note {
    order_id id;
    target_id target;
    std::string decision;
    std::string reason;
};
using order_act = std::variant<read_intents, write_intent, remove_intent, send_order, ask_about_order, resign_orders, order_note>;

// --- What came of it ---

enum class order_outcome {
    Accepted, // by a send: taken; by a question: under way
    Done, // by a question: carried out
    Failed, // by a question: it will never come true; by a send: a broken order
    OldFencing,
    Unobtainable,
    NotFound, // by a question
    NotSent, // no byte left
    Lost, // sent or asked, no answer
};

// Orders of one term of one holder.
class order_book {
public:
    order_book(order_settings settings, fencing_number fencing, instant ordersFrom, std::uint64_t seed);

    // True once the past is known: intents read, and a list read after that.
    bool ready() const { return m_intentsRead && m_listRead && !m_resigned; }
    bool resigned() const { return m_resigned; }

    // Wishes; the caller has checked bounds against pending() and the list. Empty
    // if too many are under way, the book isn't ready, or the place is in back-off.
    std::optional<order_id> start(const target_pool& pool, supply_kind kind, const failure_domain_id& domain, instant now);
    // The target has no work left.
    std::optional<order_id> stop(const target_pool& pool, const ordered_target& target, instant now);
    // Whether this kind in this failure domain was unobtainable lately.
    bool backedOff(const pool_id& pool, supply_kind kind, const failure_domain_id& domain, instant now) const;

    std::vector<order_act> tick(instant now);
    std::vector<order_act> onIntents(const result<std::vector<kv_entry>>& entries, instant now);
    std::vector<order_act> onWritten(const order_id& id, const result<kv_answer>& answer, instant now);
    std::vector<order_act> onRemoved(const order_id& id, const result<kv_answer>& answer, instant now);
    std::vector<order_act> onSent(const order_id& id, order_outcome outcome, const target_id& target, instant now);
    std::vector<order_act> onAsked(const order_id& id, order_outcome outcome, const target_id& target, instant now);
    // A list that was asked for at `askedAt`.
    std::vector<order_act> onList(const std::vector<ordered_target>& rows, instant askedAt, instant now);

    // Intents that aren't settled and that the list doesn't show yet.
    std::vector<order_intent> pending() const;

private:
    enum class order_state {
        Writing, // intent under way, or to be written again
        Written, // to be sent
        Sent,
        Doubtful, // lost: to be asked about
        Asking,
        Accepted, // until the list shows it
        Settled, // to be removed
        Removing,
    };
    struct open_order {
        order_intent intent;
        order_state state = order_state::Writing;
        bool ours = true; // written in this term
        bool waits = false; // its peers ignore fencing numbers
        bool calling = false; // an answer is awaited
        target_id target; // once known
        instant next {}; // when to act
        instant acceptedAt {};
    };
    struct place {
        pool_id pool;
        supply_kind kind = supply_kind::Firm;
        failure_domain_id domain;
        friend bool operator<(const place& a, const place& b) { return std::tie(a.pool, a.kind, a.domain) < std::tie(b.pool, b.kind, b.domain); }
    };
    struct place_back_off {
        instant until {};
        std::uint32_t failures = 0;
    };

    std::optional<order_id> add(order_intent intent, bool waits);
    void act(open_order& order, instant now);
    void write(open_order& order);
    void settle(open_order& order, std::string decision, std::string reason, instant now);
    void unobtainable(const order_intent& intent, instant now);
    void resign(std::string why);
    void compareLists(const std::vector<ordered_target>& rows, instant now);
    void note(const open_order& order, std::string decision, std::string reason);
    duration jittered(duration time);
    std::vector<order_act> take() { return std::exchange(m_acts, {}); }
    static place placeOf(const order_intent& intent) { return { intent.pool, intent.kind, intent.failureDomain }; }

    order_settings m_settings;
    fencing_number m_fencing;
    instant m_ordersFrom {};
    seeded_random m_random;
    bool m_reading = false;
    bool m_intentsRead = false;
    bool m_listRead = false;
    bool m_resigned = false;
    instant m_nextRead {};
    instant m_readAt {};
    std::uint64_t m_lastOrder = 0;
    std::map<order_id, open_order> m_orders;
    std::map<place, place_back_off> m_backOff;
    std::map<target_id, ordered_target> m_listed; // the last list
    std::set<target_id> m_stopped; // by our order, until they are gone
    std::vector<order_act> m_acts;
};

} // namespace lovagerail
