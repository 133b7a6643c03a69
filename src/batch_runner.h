// Runs the items of the batches that this instance owns and lists their results.
//
// A pure state machine without I/O: submissions, stream events, answers of judges and of
// the store go in; requests to targets, judge calls and pages to be written come out. A
// result gets its position when the page that holds it has been stored, and is shown only
// then. So every instance reports the same positions, also after a crash of the owner.
//
// Items are sent in complete groups, the group with the longest expected work first: only
// complete groups count for a training step, and the step ends with its slowest item. The
// content of a text never influences scheduling, which would bias the samples. A stream
// that breaks off is resumed after its last complete event at another target with the software
// that began it; if there is none, its text is generated anew. Weight
// versions are taken only from what targets report, never from what was requested.
#pragma once

#include "batch_life.h"
#include "open_write.h"
#include "pool_shares.h"
#include "router.h"
#include "stream_pace.h"
#include "types.h"

#include <json/value.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovagerail {

struct batch_event {
    std::optional<std::uint64_t> id; // empty: missing, or it can't be read
    std::string data;
    std::optional<weight_version> version; // set if the version changed with this event
};

// Status line and headers of a target's answer.
struct item_head {
    int status = 0;
    bool echoesId = true; // false if the answer names another item than the one sent, so it must be discarded
    bool notRun = false; // the target refused and says that it ran nothing
    bool isEventStream = false; // by its media type
    std::optional<weight_version> version;
};

// Generated text of an unfinished item; kept for a while after its batch ends, as the item
// may be submitted again.
struct partial_text {
    std::vector<std::string> data; // of the events, in order
    std::uint64_t lastEventId = 0; // id of the last event
    std::vector<weight_version> versions;
    target_software software; // of the target that generated the first event
    bool complete = false; // generation is complete
};
using partial_texts = std::map<item_id, partial_text>;
// JSON form, in the store and between instances. Decoding skips malformed parts.
Json::Value encodeTexts(const partial_texts& texts);
partial_texts decodeTexts(const Json::Value& value);

// --- Actions -----------------------------------------------------------------

struct run_item {
    attempt_id attempt;
    batch_id batch;
    std::size_t index = 0; // of the item in its batch
    route_choice choice;
    duration deadline {};
    std::optional<std::uint64_t> lastEventId;
    std::optional<weight_version> expectVersion;
    target_software began; // software that generated the text so far; empty if there is none
};
enum class cancel_reason {
    BatchClosed, // ended, or owned by another instance from now on
    Stalled, // no event within the time-out
    Moved, // to a faster target
    WrongAnswer, // of another item, from weights that the batch does not allow, or no stream
    BrokenText, // events that don't follow the text, a second version where one is allowed, or other software
};
std::string_view toString(cancel_reason reason);

struct cancel_run {
    attempt_id attempt;
    cancel_reason reason = cancel_reason::BatchClosed;
};
struct judge_item {
    batch_id batch;
    std::size_t index = 0;
};
// One page of results, in the order of their positions; answered by pageWritten().
struct write_page {
    batch_id batch;
    std::uint32_t page = 0;
    std::vector<batch_result> results;
};
// Unfinished texts to store, so that another owner can resume them if this instance
// crashes; answered by textsSaved().
struct save_texts {
    batch_id batch;
    partial_texts texts;
};
// For the log: the decision that a batch will be late, or is to be in time again.
struct note_late {
    batch_id batch;
    bool late = false;
    double work = 0; // left, in seconds of one slot
    duration timeLeft {};
    std::size_t competing = 0; // open batches that share the slots, this one included
};
// For the log: items wait although no target may run them, or such targets are there again.
struct note_placement {
    batch_id batch;
    std::size_t waiting = 0;
    std::size_t targets = 0; // that may run the items, full or not
    routing_class_id routingClass;
};
using batch_action = std::variant<run_item, cancel_run, judge_item, write_page, save_texts, note_late, note_placement>;

enum class judge_outcome {
    Scored,
    GivenUp, // failed as often as its route allows
    Retry, // no score yet: ask again later
};

// How the answer to a run ended.
enum class run_end {
    Complete,
    Unproven, // with its connection and behind an event: nothing shows that the text is complete
    BrokenOff,
    NotSent,
};

struct batch_runner_settings {
    // Time-out for the first event of a run, which is then sent to another target. Loading
    // weights stops a replica's work for about a second, longer while several load.
    duration firstEventTimeout = std::chrono::milliseconds(2500);
    // Time-out between events: ten times the longest pause that callers accept as timely.
    duration eventTimeout = std::chrono::milliseconds(1200);
    duration refusedRetryDelay = std::chrono::milliseconds(40); // before a refused item is sent again: two turns of the event loop
    // How long an item avoids a target where its run broke off or failed: the target's load
    // report is some hundred milliseconds old.
    duration avoidAfterFailure = std::chrono::milliseconds(250);
    // How long a whole batch avoids a target that refused an item: of eight items that take
    // about a second each, one ends within this time.
    duration avoidAfterRefusal = std::chrono::milliseconds(120);
    // How long a target is avoided after it stalled, could not be reached, or reported
    // another incarnation or a wrong version: its list entry is refreshed every 1.2 s.
    duration avoidUntilRefresh = std::chrono::milliseconds(1500);
    // How long a text waits for a target with the software that began it while others are free;
    // short against the seconds in which an item is generated.
    duration maxResumeWait = std::chrono::milliseconds(500);
    duration judgeRetryDelay = std::chrono::milliseconds(250); // before a judge is asked again: above a judge's latency target of 150 ms
    duration pageRetryDelay = openWriteRetryDelay; // before a failed page write is repeated
    duration pageDelay = std::chrono::milliseconds(40); // before the page that completes the step, so that groups finished within it share the page
    // Before a page of groups that do not complete the step: the trainer waits for all of
    // them anyway. `pageDelay` applies instead once the batch is due within pageDelayCutoff.
    duration earlyPageDelay = std::chrono::milliseconds(800);
    duration pageDelayCutoff = std::chrono::milliseconds(1500);
    duration maxUnlistedTime = std::chrono::seconds(2); // a result is listed after so long even if its group is incomplete
    duration keepTextsFor = std::chrono::seconds(60); // retention of unfinished texts of ended batches
    std::size_t maxKeptTexts = 4096; // items with such texts
    // A run moves to a replica that is so many times as fast, if this saves at least minMoveGain after
    // the time that the new run needs until its first event.
    double moveSpeedup = 1.8;
    // A run may move once it lags so far behind one that is just fast enough to stay (moveSpeedup times
    // the typical pace). Lag grows while it is slower and shrinks while it is faster, so that slowness
    // must last. At four times the typical pace this takes 0.35 s.
    duration moveLag = std::chrono::milliseconds(190);
    // One gap adds no more to the lag: loading weights stops a replica once for about a second.
    duration maxLagPerGap = std::chrono::milliseconds(120);
    duration paceHalfLife = std::chrono::milliseconds(1500); // of a replica's pace: above the noise of shared machines
    duration runPaceHalfLife = std::chrono::milliseconds(250); // of a run's present pace
    duration minMoveGain = std::chrono::milliseconds(300);
    std::uint32_t maxMoves = 3; // of one item
    std::size_t minEventsForPace = 3; // of a run, before its pace is used
    duration expectedRunStart = std::chrono::milliseconds(100); // from sending a run to its first event, until observed
    duration paceExpiry = std::chrono::seconds(5); // a replica's pace is ignored when it is older
    // At most so much work of an item is lost in a crash, unless the store is unavailable.
    // Not shorter, as each write costs a call and most items finish sooner.
    duration saveInterval = std::chrono::milliseconds(2500);
    std::size_t pageBytes = 500'000; // of text in one page; a value in the store holds a megabyte
    // Between decisions which batch will be late: the inputs change as items end, about ten in this time.
    duration lateDecisionInterval = std::chrono::milliseconds(100);
    std::uint32_t defaultSlots = 8; // concurrent requests at a replica that doesn't state its slots
};

struct batch_run_counts {
    std::uint64_t runs = 0;
    std::uint64_t resumed = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t stalled = 0;
    std::uint64_t moved = 0; // to a faster replica
    // Runs cancelled at the head: a version that is not allowed, or the answer of another
    // item.
    std::uint64_t wrongVersion = 0;
    std::uint64_t completed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t reused = 0; // texts taken over from an earlier batch
    std::uint64_t begunAnew = 0; // texts dropped as no target with their software could go on
    std::uint64_t saved = 0; // unfinished texts stored
    std::uint64_t late = 0; // batches that gave way to others, as not all could be in time
    std::uint64_t held = 0; // ticks in which a model's items waited only because it held its share
};

// Load of one model; input of the decisions which replicas serve it and which share of a pool it gets.
struct model_demand {
    service_id service;
    model_id model;
    weight_version minVersion; // oldest version that the newest batch accepts
    std::size_t running = 0; // items at targets
    // Items that wait; zero unless every target of the service is full, whatever its
    // weights. Items that wait for weights are not helped by more targets.
    std::size_t queued = 0;
    std::uint64_t work = 0; // expected tokens of all items of the newest batch

    // For the shares of a pool; see slot_claim.
    bool knowsShares = true; // false: reported by an older version, without the fields below
    std::int32_t priority = 0; // of the most urgent route and account
    std::size_t waiting = 0; // items that targets could run, whether or not they are full
    std::size_t urgent = 0; // items that count for batches that are not late, and running ones
    // Of the batch due first, if possible one that is not late: time left to send its items, time
    // that they take on one slot, and groups that its trainer still waits for.
    std::optional<duration> timeLeft;
    duration slotTime {};
    std::uint32_t groups = 0;
};

class batch_runner {
public:
    batch_runner(batch_runner_settings settings, router& targets);

    // --- Batches.
    // Adds a batch and does nothing if it is known. `listed` are its results in the store,
    // in order, from `pages` pages; `tokensPerEvent` is the number of tokens in a stream
    // event of the route's targets.
    void add(batch_spec spec, const site_route& route, double tokensPerEvent, std::vector<batch_result> listed, std::uint32_t pages, instant now, wall_time wall);
    // Runs the items but writes nothing to the store until accept(): the write of the
    // submission is not confirmed yet.
    // Where its items may run from now on; until the first call, what `route` of add() says.
    void place(const batch_id& id, item_places places);
    void deferWrites(const batch_id& id);
    void accept(const batch_id& id);
    // While held, waiting items are not sent. Runs, judges and pages go on.
    void holdItems(bool held) { m_itemsHeld = held; }
    // Cancels all runs. Listed results stay readable.
    std::vector<batch_action> end(const batch_id& id, instant now);
    // Removes a batch that another instance owns now or whose retention is over.
    std::vector<batch_action> drop(const batch_id& id, instant now);
    // Removes a batch that is handed over to another instance: cancels its runs and returns
    // the texts of items that are not listed. Its pages must not be written here any more.
    partial_texts releaseTexts(const batch_id& id, std::vector<batch_action>& actions, instant now);
    // Keeps texts of a previous owner; the next add() of a batch with these items resumes them.
    void restoreTexts(const partial_texts& texts, instant now);

    bool has(const batch_id& id) const { return m_batches.contains(id); }
    bool ended(const batch_id& id) const;
    const batch_spec* spec(const batch_id& id) const;
    const item_places& places(const batch_id& id) const { return m_batches.at(id).places; }
    // The route of a known batch, as it was decided.
    const site_route& route(const batch_id& id) const { return m_batches.at(id).route; }
    // The results whose pages are stored, by position.
    const std::vector<batch_result>& listed(const batch_id& id) const;
    bool writing(const batch_id& id) const;
    std::uint32_t pages(const batch_id& id) const;
    // The page whose write failed or has an unknown outcome; also of an ended batch, which doesn't
    // write it again.
    std::optional<std::uint32_t> openPage(const batch_id& id) const;
    const batch_item* unlistedItem(const batch_id& id, const item_id& item) const;
    std::vector<batch_id> all() const;
    std::vector<model_demand> demand(instant now) const;
    // Limits the running items of these models until the given time; see share_lease::apply().
    void setShares(std::uint64_t request, std::map<share_key, leased_slots> shares, instant until);

    // --- Runs: head, events and end of the answer to an attempt.
    std::vector<batch_action> head(attempt_id attempt, const item_head& head, instant now);
    std::vector<batch_action> events(attempt_id attempt, const std::vector<batch_event>& events, instant now);
    std::vector<batch_action> done(attempt_id attempt, run_end end, instant now);
    bool runs(attempt_id attempt) const { return m_runs.contains(attempt); }

    // --- Judges and the store.
    std::vector<batch_action> judged(const batch_id& batch, std::size_t index, judge_outcome outcome, const std::string& score, instant now);
    // A page whose write failed or has an unknown outcome (`written` false) is written again unchanged.
    std::vector<batch_action> pageWritten(const batch_id& batch, std::uint32_t page, bool written, instant now);
    // The open page of an ended batch was found in the store.
    void openPageFound(const batch_id& batch);
    void textsSaved(const batch_id& batch, bool written, instant now);

    // Sends waiting items, ends stalled runs, moves slow ones, writes pages that are due.
    std::vector<batch_action> tick(instant now);

    const batch_run_counts& counts() const { return m_counts; }

private:
    enum class item_stage {
        Waiting, // for a target
        Running,
        AwaitingJudge, // complete; the judge is to be called
        Judging,
        Finished, // has its result, which is in no page yet
        Writing, // in the page that is being written
        Listed, // its page is stored
    };
    struct item_state {
        item_stage stage = item_stage::Waiting;
        partial_text generated;
        std::optional<attempt_id> attempt; // while Running
        std::uint32_t failures = 0; // answers with status 500
        std::uint32_t moves = 0;
        std::optional<instant> beginAnewAt; // while its text waits for a target with its software
        instant retryAt {}; // Waiting, AwaitingJudge: time of the next attempt
        std::map<target_id, instant> avoidUntil; // targets not to be used, with the end of that time
        std::size_t eventsStored = 0; // number of events in the store
        std::size_t eventsBeingStored = 0; // number of events in the write in progress
        instant unstoredSince {}; // arrival of the first event beyond `eventsStored`
        batch_result result; // from Finished on
        instant finishedAt {};
    };
    struct batch_state {
        batch_spec spec;
        site_route route;
        item_places places;
        routing_class_id firstClass; // targets of places.services whose weights are new enough
        routing_class_id otherClass; // the same of places.otherServices
        routing_class_id anyClass; // both
        bool usesOther = false; // items are sent to otherClass, as firstClass has no target
        instant dueAt {};
        instant itemDeadline {}; // items still waiting then are abandoned
        std::vector<item_state> items; // same indexes as spec.items
        std::vector<std::size_t> order; // indexes of items in the order of sending
        std::map<std::string, std::vector<std::size_t>> groups; // indexes of items by group
        std::vector<batch_result> listed;
        std::uint32_t pages = 0; // number stored, so the number of the next one
        bool writing = false; // a page is being written
        std::size_t completeGroups = 0; // with all items finished
        std::vector<std::size_t> pageItems; // indexes of the items in the page being written, in order
        std::map<target_id, instant> refusedUntil; // targets that refused an item, avoided until then
        double typicalPace = 0; // seconds per event at the replicas of its class, as of the last tick; 0: unknown
        std::optional<instant> pageDue; // when the next page is due; set while a complete group is in no page
        instant nextPageWrite {}; // earliest next page write
        bool saving = false; // partial texts are being stored
        instant nextSave {}; // earliest next write of partial texts
        bool writesDeferred = false; // no writes: accept() was not called yet
        bool ended = false;
        bool late = false; // gives way to other batches; only while items wait for slots
        bool unplaced = false; // items wait and no target may run them
    };
    // What is left of a batch for its trainer to go on.
    struct batch_need {
        std::size_t open = 0; // items waiting and running
        double work = 0; // in seconds of one slot; 0 if no run has ended yet
        std::size_t groups = 0;
        duration timeLeft {}; // to send the last item
    };
    struct open_run {
        batch_id batch;
        std::size_t index = 0;
        target_id target;
        target_software software;
        weight_version version; // of the current events; 0 = not reported yet
        std::size_t resumedFrom = 0; // events that the item had when the run was sent
        bool accepted = false; // the head has the right item and an allowed version
        item_head head;
        bool headSeen = false;
        instant sentAt {};
        instant lastReceivedAt {};
        std::size_t events = 0; // received in this run
        pace_average pace; // its present pace
        double lagSeconds = 0; // behind a run at moveSpeedup times the typical pace; not negative
    };

    batch_state* find(const batch_id& id);
    const batch_state* find(const batch_id& id) const;
    routing_class_id defineRoutingClass(const batch_state& batch, const std::vector<service_id>& services);
    void dropRoutingClasses(const std::vector<routing_class_id>& names);
    void setPlaces(batch_state& batch, item_places places);
    void choosePlace(batch_state& batch);
    static const routing_class_id& placeClass(const batch_state& batch) { return batch.usesOther ? batch.otherClass : batch.firstClass; }
    static const std::vector<service_id>& placeServices(const batch_state& batch) { return batch.usesOther ? batch.places.otherServices : batch.places.services; }
    const routing_class_id& classFor(const batch_state& batch, const item_state& item) const;
    void orderItems(batch_state& batch) const;
    void resumeKeptTexts(batch_state& batch);
    void keepTexts(const batch_state& batch, instant now);
    bool isFull(target_slot slot, instant now) const;
    bool isServiceFull(const service_id& service, instant now) const;
    std::vector<target_id> fullTargets(batch_state& batch, instant now) const;
    route_decision chooseTarget(const batch_state& batch, route_request& routeRequest, instant now);
    static void dropText(item_state& item);
    // Sends waiting items in order, only the marked ones if there are marks.
    void dispatch(batch_state& batch, instant now, const std::vector<bool>& marked = {});
    static share_key shareKey(const batch_state& batch);
    share_key shareKey(const open_run& run) const;
    std::size_t runningOf(const share_key& key) const;
    std::uint32_t slotsOf(target_slot slot) const;
    std::size_t freeSlots(const service_id& service, std::size_t enough, instant now) const;
    static std::vector<bool> requiredItems(const batch_state& batch);
    batch_need needOf(const batch_state& batch, instant now) const;
    bool isContended(const std::vector<batch_state*>& batches, instant now) const;
    void decideLate(const std::vector<batch_state*>& batches, bool contended, instant now);
    void setLate(batch_state& batch, bool late, const slot_job& job, std::size_t competing);
    void dispatchContended(std::vector<batch_state*> byDue, instant now);
    void learnPace(const batch_state& batch, const open_run& run, instant now);
    bool send(batch_state& batch, std::size_t index, const std::vector<target_id>& full, instant now);
    void endRun(attempt_id attempt, attempt_outcome outcome, instant now);
    void delayRetry(item_state& item, duration pause, instant now);
    void finishText(batch_state& batch, std::size_t index, instant now);
    void finishItem(batch_state& batch, std::size_t index, bool completed, std::string score, instant now);
    void stopRuns(const batch_id& id, instant now);
    void onGroupComplete(batch_state& batch, instant now);
    void writeDuePage(batch_state& batch, instant now);
    static void listPage(batch_state& batch);
    void saveDueTexts(batch_state& batch, instant now);
    void notePlacement(batch_state& batch);
    void cancelStalledRuns(instant now);
    void updatePace(open_run& run, double typicalPace, std::size_t events, instant now);
    std::optional<double> paceOf(const target_id& target, instant now) const;
    double typicalPace(const batch_state& batch, instant now) const;
    std::optional<double> typicalFreePace(const batch_state& batch, const item_state& item, const target_id& from, const std::vector<target_id>& full, instant now) const;
    bool shouldMove(const open_run& run, batch_state& batch, instant now) const;
    void moveStragglers(instant now);
    std::vector<batch_action> takeActions() { return std::exchange(m_actions, {}); }

    batch_runner_settings m_settings;
    router& m_router;
    std::uint64_t m_lastAttempt;
    std::map<batch_id, batch_state> m_batches;
    std::map<attempt_id, open_run> m_runs; // exactly the items that are Running
    std::map<target_id, pace_average> m_paces;
    double m_runStartSeconds; // from sending a run to its first event, moving average
    std::map<service_id, double> m_secondsPerToken; // of runs, for each expected token; moving average
    share_lease m_lease;
    instant m_nextLateDecision {};
    bool m_itemsHeld = false;
    struct kept_text {
        partial_text generated;
        instant until {};
    };
    std::map<item_id, kept_text> m_keptTexts;
    batch_run_counts m_counts;
    std::vector<batch_action> m_actions;
};

// Attempt ids of batch runs start here, so that they differ from those of other attempts
// at the same router.
constexpr std::uint64_t firstRunNumber = std::uint64_t { 1 } << 40U;

// Hashes of a prompt's parts for prefix-aware routing, one block for each `prefixBlockTokens` tokens.
std::vector<block_hash> hashParts(const model_id& model, const std::vector<prompt_part>& parts);

} // namespace lovagerail
