// Keeps the configuration of this instance up to date: reads it from the key-value service,
// watches its changes, and executes operators' edits as single transactions.
#pragma once

#include "config_edit.h"
#include "daemon/control_context.h"

#include <functional>
#include <variant>

namespace lovagerail::daemon {

// The outcome of an operator's edit.
struct edit_result {
    revision at; // the revision since which the edit is in force
    std::vector<config_fault> warnings;
    bool unchanged = false;
};
using edit_answer = std::variant<edit_result, std::vector<edit_conflict>, std::vector<config_fault>, error>;

class config_duty {
public:
    using edit_function = std::function<void(const edit_answer&)>;

    explicit config_duty(control_context& context);

    void tick();
    // Plans and writes an edit, and calls onDone once the outcome is known. If another edit
    // wins the race, this one is planned again unless both change the same objects.
    void edit(config_edit newEdit, edit_function onDone);
    // Applies a change received from another instance; true if it advanced the revision.
    bool applyPeerChange(const config_change& change);

    // Sets whether this instance is one of the few that keep a watch open. The others read
    // only if their revision was not confirmed for a while. `rank` is the place among the
    // watchers: the first one confirms the revision, the next ones only if it fails to.
    void setWatcher(bool isWatcher, std::size_t rank);
    bool isWatcher() const { return m_isWatcher; }
    // Another instance had the revision in force here confirmed by the service at this time.
    void confirmedByPeer(instant at);
    // The head that belongs to a change received from another instance.
    void setHead(const config_head& head) { m_head = head; }
    // Sets a function that is called after each applied change.
    using applied_function = std::function<void(const config_ptr& before, const config_change&)>;
    void onApplied(applied_function onApplied) { m_onApplied = std::move(onApplied); }

    // When the service last confirmed that this revision is the newest, here or to another instance.
    instant confirmedAt() const { return m_confirmedAt; }
    bool isKnown() const { return m_context.inForce->at() != revision() || m_emptyConfirmed; }
    const config_head& head() const { return m_head; }

private:
    struct pending_edit {
        config_edit wanted;
        edit_function onDone;
        int attempts = 0;
        revision before; // the revision that the plan was made on
        std::vector<config_fault> warnings;
    };
    using edit_ptr = std::shared_ptr<pending_edit>;

    void readAll();
    void onReadAll(const result<kv_answer>& answer);
    void startWatch(revision readAt);
    void confirmRevision();
    duration maxSilence() const;
    void onWatchResponse(const kv_watch_response& response);
    void applyChange(const config_change& change);
    void plan(const edit_ptr& edit);
    void commit(const edit_ptr& edit, const edit_plan& planned);
    void onCommit(const edit_ptr& edit, const edit_plan& planned, const result<kv_answer>& answer);
    // After a lost answer: finds out from the history entry whether the edit was written.
    void resolveUnknownCommit(const edit_ptr& edit, const edit_plan& planned);
    void refreshThen(std::function<void(const result<void>&)> next);

    control_context& m_context;
    config_head m_head;
    bool m_reading = false;
    bool m_emptyConfirmed = false; // the service confirmed that there is no configuration yet
    bool m_watching = false;
    std::uint64_t m_watchId = 0; // 0 = none
    bool m_isWatcher = false;
    bool m_isRankKnown = false; // setWatcher() was called
    bool m_confirming = false;
    std::size_t m_watcherRank = 0;
    int m_failedReads = 0; // in a row
    applied_function m_onApplied;
    instant m_startedAt {};
    instant m_confirmedAt {};
    instant m_nextRead {};
    std::vector<std::function<void(const result<void>&)>> m_readCallbacks;
};

} // namespace lovagerail::daemon
