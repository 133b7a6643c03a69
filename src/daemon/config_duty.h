// Keeps the configuration in force: reads it from the key-value service, follows
// its changes, and carries out operators' edits as single transactions.
#pragma once

#include "config_edit.h"
#include "daemon/control_context.h"

#include <functional>
#include <variant>

namespace lovagerail::daemon {

// What became of an operator's edit.
struct edit_result {
    revision at; // in force from here on
    std::vector<config_fault> warnings;
    bool unchanged = false;
};
using edit_answer = std::variant<edit_result, std::vector<edit_conflict>, std::vector<config_fault>, error>;

class config_duty {
public:
    using edit_function = std::function<void(const edit_answer&)>;

    explicit config_duty(control_context& context);

    void tick();
    // Plans, writes and answers once the outcome is known. Races with other
    // operators are planned again unless they touched the same objects.
    void edit(config_edit wanted, edit_function onDone);
    // A change told by another instance; true if it moved us forward.
    bool learn(const config_change& change);

    // Whether this instance is one of the few that keep a watch open; the others
    // read only if nothing was confirmed for a while. `place` orders who confirms.
    void setWatcher(bool isWatcher, std::size_t place);
    bool isWatcher() const { return m_isWatcher; }
    // Another instance had the service's word at that time, for what is in force here.
    void confirmedByPeer(instant at);
    // Head of a change that another instance told.
    void setHead(const config_head& head) { m_head = head; }
    // Called with each change that came in force.
    using applied_function = std::function<void(const config_ptr& before, const config_change&)>;
    void onApplied(applied_function tell) { m_applied = std::move(tell); }

    // The revision was confirmed by the service at this time, here or at another instance.
    instant confirmedAt() const { return m_confirmedAt; }
    bool known() const { return m_context.inForce->at() != revision() || m_emptyConfirmed; }
    const config_head& head() const { return m_head; }

private:
    struct pending_edit {
        config_edit wanted;
        edit_function onDone;
        int tries = 0;
        revision before; // head's revision that the plan was made on
        std::vector<config_fault> warnings;
    };
    using edit_ptr = std::shared_ptr<pending_edit>;

    void readAll();
    void onAll(const result<kv_answer>& answer);
    void startWatch(revision readAt);
    void confirm();
    duration silence() const;
    void onNews(const kv_news& news);
    void take(const config_change& change);
    void plan(const edit_ptr& edit);
    void commit(const edit_ptr& edit, const edit_plan& planned);
    void onCommit(const edit_ptr& edit, const edit_plan& planned, const result<kv_answer>& answer);
    // After a lost answer: the head's history entry tells whether it was ours.
    void settleUnknown(const edit_ptr& edit, const edit_plan& planned);
    void refreshThen(std::function<void(const result<void>&)> next);

    control_context& m_context;
    config_head m_head;
    bool m_reading = false;
    bool m_emptyConfirmed = false; // the service holds no configuration yet
    bool m_watching = false;
    std::uint64_t m_watch = 0; // 0 = none
    bool m_isWatcher = false;
    bool m_isPlaced = false; // setWatcher() was called
    bool m_confirming = false;
    std::size_t m_place = 0;
    int m_failedReads = 0; // in a row
    applied_function m_applied;
    instant m_startedAt {};
    instant m_confirmedAt {};
    instant m_nextRead {};
    std::vector<std::function<void(const result<void>&)>> m_afterRead;
};

} // namespace lovagerail::daemon
