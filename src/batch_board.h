// Runs the items of the batches that this instance owns and lists their results.
//
// A pure state machine: submissions, events of streams, answers of judges and of the
// store go in; sends, judge calls and pages to be written come out. A result has a
// position once the page that holds it stands in the store, and only then is it shown,
// so that positions agree for ever whichever instance answers.
//
// Items run in whole groups, those of longest expected work first, as a step earns by
// groups and ends with its slowest. Nothing looks at how a sample turns out. A stream
// that breaks off goes on elsewhere behind its last whole event. Versions are taken
// from the targets' own words alone.
#pragma once

#include "batch.h"
#include "router.h"
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
    std::uint64_t id = 0;
    std::string data;
    std::optional<weight_version> version; // changed with this event
};

struct item_head {
    int status = 0;
    bool echoes = true; // it names this item, or nothing
    bool notRun = false;
    std::optional<weight_version> version;
};

// Text of an unfinished item; it outlives its batch for a while.
struct made_text {
    std::vector<std::string> data; // of events, in order
    std::uint64_t lastEvent = 0; // id of the last one
    std::vector<weight_version> versions;
    bool whole = false; // nothing is left to make
};
using made_texts = std::map<item_id, made_text>;
// For the way to another instance; what isn't well formed is left out.
Json::Value encodeTexts(const made_texts& texts);
made_texts decodeTexts(const Json::Value& value);

// --- Actions -----------------------------------------------------------------

struct run_item {
    attempt_id attempt;
    batch_id batch;
    std::size_t index = 0; // of the item in its batch
    route_choice choice;
    duration deadline {};
    std::optional<std::uint64_t> lastEventId;
    std::optional<weight_version> expectVersion;
};
struct cancel_run {
    attempt_id attempt;
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
// Texts under way that would cost their runs anew if this instance were lost now;
// answered by textsSaved().
struct save_texts {
    batch_id batch;
    made_texts texts;
};
using board_action = std::variant<run_item, cancel_run, judge_item, write_page, save_texts>;

enum class judge_outcome {
    Scored,
    GivenUp, // it failed as often as its route allows
    NotNow, // no verdict: ask again
};

struct board_settings {
    // A run without any event for so long goes elsewhere. A load of weights, which holds
    // a replica's work up, takes about a second, longer while several load.
    duration firstEvent = std::chrono::milliseconds(2500);
    // The same between events: ten times the longest pause that callers take for timely.
    duration eventGap = std::chrono::milliseconds(1200);
    duration refusedPause = std::chrono::milliseconds(40); // two turns of the loop before a refused item is sent again
    // A target whose run broke off or failed is not asked by this item for so long: its
    // own report of its load is some hundred milliseconds old.
    duration avoidBusy = std::chrono::milliseconds(250);
    // A target that refused is not asked by its whole batch for so long: of eight items
    // of about a second each one ends within.
    duration closedBusy = std::chrono::milliseconds(120);
    // The same after a broken run or a wrong version: the target's list entry is renewed
    // at each check-in, 1.2 s apart.
    duration avoidWrong = std::chrono::milliseconds(1500);
    duration judgePause = std::chrono::milliseconds(250); // before a judge is asked again: above a judge's latency target of 150 ms
    duration pageRetry = std::chrono::milliseconds(250); // before a page that wasn't written is tried again, as for submissions
    duration gather = std::chrono::milliseconds(40); // the last groups that the trainer waits for share a page with those that finish so close
    // Groups that don't complete the step yet wait for others, as the trainer does; not
    // longer than this, and not beyond this before the batch is due.
    duration gatherEarly = std::chrono::milliseconds(800);
    duration gatherUntilDue = std::chrono::milliseconds(1500);
    duration longestUnlisted = std::chrono::seconds(2); // a result is listed after so long without its group
    duration carried = std::chrono::seconds(60); // unfinished texts of ended batches are kept for so long
    std::size_t mostCarried = 4096; // items
    // A run moves to a replica that makes events so many times as fast, if it gains so much.
    double movePace = 1.8;
    duration moveGain = std::chrono::milliseconds(300);
    std::uint32_t mostMoves = 3; // of one item
    std::size_t leastEventsForPace = 3; // of a run, before its pace says anything
    duration paceMemory = std::chrono::seconds(5); // an older pace of a replica says nothing
    // Work of an item that is not stored is at most so long, unless the store is away. A
    // write costs a call, and most items are done sooner.
    duration saveAfter = std::chrono::milliseconds(2500);
    std::size_t pageBytes = 500'000; // of text in one page; the store's values hold a megabyte
    std::uint32_t slotsUnknown = 8; // requests at a replica that doesn't state its slots
};

struct board_counts {
    std::uint64_t runs = 0;
    std::uint64_t resumed = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t stalled = 0;
    std::uint64_t moved = 0; // to a faster replica
    std::uint64_t wrongVersion = 0;
    std::uint64_t completed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t reused = 0; // texts carried over from an earlier batch
    std::uint64_t saved = 0; // texts stored while under way
};

// Work of one model, for whoever decides which replicas serve it.
struct model_demand {
    service_id service;
    model_id model;
    weight_version least; // that the newest batch accepts
    std::size_t running = 0; // items at targets
    // Items that wait while every target of the service is full, whatever its weights:
    // more targets don't help work that waits for weights.
    std::size_t queued = 0;
    std::uint64_t work = 0; // tokens to generate for all items of its newest batch
};

class batch_board {
public:
    batch_board(board_settings settings, router& targets);

    // --- Batches. A known one is left as it is.
    // `listed` are the results that stand in the store, in order.
    // `tokensPerEvent` is what an event of the route's targets carries.
    void add(batch_spec spec, const site_route& route, double tokensPerEvent, std::vector<batch_result> listed, std::uint32_t pages, instant now, wall_time wall);
    // Its items run, but no page is written until accept(): the store doesn't answer yet.
    void hold(const batch_id& id);
    void accept(const batch_id& id);
    // Runs no more of it; what is listed stays readable.
    std::vector<board_action> end(const batch_id& id, instant now);
    // Somebody else owns it now, or its time is over.
    std::vector<board_action> drop(const batch_id& id, instant now);
    // For a batch that goes to another instance: stops its runs and returns what was
    // made of items that are not listed. The batch must not be written any more.
    made_texts release(const batch_id& id, std::vector<board_action>& actions, instant now);
    // Texts from elsewhere, taken up by the next add() of a batch with these items.
    void carry(const made_texts& texts, instant now);

    bool has(const batch_id& id) const { return m_batches.contains(id); }
    bool ended(const batch_id& id) const;
    const batch_spec* spec(const batch_id& id) const;
    // Results at positions that stand in the store.
    const std::vector<batch_result>& listed(const batch_id& id) const;
    bool writing(const batch_id& id) const;
    std::uint32_t pages(const batch_id& id) const;
    const batch_item* unlistedItem(const batch_id& id, const item_id& item) const;
    std::vector<batch_id> all() const;
    std::vector<model_demand> demand(instant now) const;

    // --- Runs.
    std::vector<board_action> head(attempt_id attempt, const item_head& head, instant now);
    std::vector<board_action> events(attempt_id attempt, const std::vector<batch_event>& events, instant now);
    std::vector<board_action> done(attempt_id attempt, bool whole, bool sent, instant now);
    bool runs(attempt_id attempt) const { return m_runs.contains(attempt); }

    // --- Judges and the store.
    std::vector<board_action> judged(const batch_id& batch, std::size_t index, judge_outcome outcome, const std::string& score, instant now);
    // Unsure or refused writes are repeated as they are.
    std::vector<board_action> pageWritten(const batch_id& batch, std::uint32_t page, bool written, instant now);
    void textsSaved(const batch_id& batch, bool written, instant now);

    // Sends what fits, ends what is silent, writes pages that are due.
    std::vector<board_action> tick(instant now);

    const board_counts& counts() const { return m_counts; }

private:
    enum class phase {
        Waiting, // for a target
        Running,
        ToJudge,
        Judging,
        Finished, // has its result, not yet in a page
        Writing, // in the page under way
        Listed,
    };
    struct item_state {
        phase at = phase::Waiting;
        made_text made;
        std::optional<attempt_id> attempt; // while Running
        std::uint32_t failures = 0; // answers of 500
        std::uint32_t moves = 0;
        instant notBefore {}; // Waiting, ToJudge: next try
        std::map<target_id, instant> avoid; // until then
        std::size_t stored = 0; // events in the store
        std::size_t storing = 0; // events in the write under way
        instant unstoredSince {}; // when the first event beyond `stored` came
        batch_result result; // from Finished on
        instant finishedAt {};
    };
    struct batch_state {
        batch_spec spec;
        site_route route;
        routing_class_id targets;
        instant due {};
        instant itemsEnd {}; // items may be given up
        std::vector<item_state> items; // same indexes as spec.items
        std::vector<std::size_t> order; // of sending
        std::map<std::string, std::vector<std::size_t>> groups;
        std::vector<batch_result> listed;
        std::uint32_t pages = 0; // written, or under way
        bool writing = false; // a page is under way
        std::size_t wholeGroups = 0; // with all items finished
        std::vector<std::size_t> inPage; // its items, in order
        std::map<target_id, instant> closed; // refused this model's work; not asked until then
        double tokensPerEvent = 1;
        std::optional<instant> pageDue; // a whole group waits for its page
        instant writeAgain {}; // not before
        bool saving = false; // texts are being stored
        instant saveAgain {}; // not before
        bool held = false; // not accepted yet
        bool ended = false;
    };
    struct open_run {
        batch_id batch;
        std::size_t index = 0;
        target_id target;
        weight_version version; // of the events that come now; 0 = not said yet
        std::size_t resumedFrom = 0; // events that were there when it was sent
        bool accepted = false; // the head was good
        item_head head;
        bool headSeen = false;
        instant sentAt {};
        instant lastHeard {};
        instant firstEventAt {};
        std::size_t events = 0; // of this run
        // Mean time between its events; 0 if too few came.
        duration pace(std::size_t least) const;
    };
    struct target_pace {
        double seconds = 0; // between events of one run, smoothed
        instant at {};
    };

    batch_state* find(const batch_id& id);
    const batch_state* find(const batch_id& id) const;
    void defineTargets(const batch_state& batch);
    void dropTargets(const routing_class_id& name);
    void arrange(batch_state& batch) const;
    void takeCarried(batch_state& batch);
    void keepCarried(const batch_state& batch, instant now);
    bool isFull(target_slot slot, instant now) const;
    bool isServiceFull(const service_id& service, instant now) const;
    std::vector<target_id> fullTargets(batch_state& batch, instant now) const;
    void dispatch(batch_state& batch, instant now);
    bool send(batch_state& batch, std::size_t index, const std::vector<target_id>& full, instant now);
    void endRun(attempt_id attempt, attempt_outcome outcome, instant now);
    void wait(item_state& item, duration pause, instant now);
    void finishText(batch_state& batch, std::size_t index, instant now);
    void finishItem(batch_state& batch, std::size_t index, bool completed, std::string score, instant now);
    void stopRuns(const batch_id& id, instant now);
    void groupFinished(batch_state& batch, instant now);
    void writeDue(batch_state& batch, instant now);
    void saveDue(batch_state& batch, instant now);
    void endSilentRuns(instant now);
    void notePace(open_run& run, std::size_t events, instant now);
    std::optional<double> paceOf(const target_id& target, instant now) const;
    std::optional<double> fastestFree(const batch_state& batch, const item_state& item, const std::vector<target_id>& full, instant now) const;
    void moveStragglers(instant now);
    std::vector<board_action> take() { return std::exchange(m_actions, {}); }

    board_settings m_settings;
    router& m_router;
    std::uint64_t m_lastAttempt;
    std::map<batch_id, batch_state> m_batches;
    std::map<attempt_id, open_run> m_runs; // exactly the items that are Running
    std::map<target_id, target_pace> m_paces;
    struct carried_text {
        made_text made;
        instant until {};
    };
    std::map<item_id, carried_text> m_carried;
    board_counts m_counts;
    std::vector<board_action> m_actions;
};

// Ids of runs begin here, so that they differ from those of other attempts that share
// a router.
constexpr std::uint64_t firstRunNumber = std::uint64_t { 1 } << 40U;

// A label that holds a number, 0 without it.
std::uint32_t labelNumber(const label_map& labels, const std::string& name);

// Hashes of a prompt's shared parts, a block for each `prefixBlockTokens` tokens.
std::vector<block_hash> hashParts(const model_id& model, const std::vector<prompt_part>& parts);

} // namespace lovagerail
