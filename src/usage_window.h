// Closing of usage windows: the duty of one instance at a time.
//
// One closer object serves one term of the duty; make a new one with the new
// fencing number after each take-over. Windows are sealed in order. Each sealed
// value says how far every origin's segments are included, so that a segment is
// in exactly one sealed window: its own, or a later one under `late`. Sealing is
// create-only and requires the window before, so neither a second closer, nor a
// delayed write, nor one that lands after old windows were removed can make a
// second figure. Reports are made from sealed values alone.
//
// Calls a window: one pull to each live instance (and a second one to holders of
// copies where an instance does not answer), one range read, one transaction,
// one mark for each 128 accounts, and one report for each account with usage.
#pragma once

#include "usage.h"

#include <set>
#include <string>
#include <variant>

namespace lovagerail {

struct closer_settings {
    usage_settings usage;
    std::chrono::milliseconds settle { std::chrono::seconds(3) }; // after the end, before the first pull
    std::chrono::milliseconds grace { std::chrono::seconds(30) }; // after the end, before sealing regardless
    std::chrono::milliseconds retryAfter { std::chrono::seconds(2) };
    std::uint64_t keepWindows = 288; // sealed and reported windows kept
    std::size_t reportsInFlight = 8;
    std::size_t accountsPerMark = 128;
    byte_count valueLimit { 900'000 };
};

// Sealed figures of one account: its own window, and late ones by the window they belong to.
struct account_usage {
    std::map<usage_key, usage_figures> figures;
    std::map<window_number, std::map<usage_key, usage_figures>> late;
    friend bool operator==(const account_usage&, const account_usage&) = default;
};

// Sums that ought to be equal and aren't. Requests aren't compared: a request
// may take several attempts.
struct usage_difference {
    target_id target; // empty: the sum over accounts against the sum over targets
    usage_figures counted; // by account, or by us at this target
    usage_figures reported; // by target, or by the target itself
    friend bool operator==(const usage_difference&, const usage_difference&) = default;
};
constexpr std::size_t differencesKept = 64;

struct origin_mark {
    segment_number next; // segments below are in this or an earlier sealed window
    window_number changed; // the last window that took a segment; old marks are dropped
    friend bool operator==(const origin_mark&, const origin_mark&) = default;
};

struct sealed_window {
    window_number window;
    std::map<client_account_id, account_usage> accounts;
    std::map<usage_origin, origin_mark> included;
    usage_figures total; // of all accounts, late ones and retries included
    std::vector<usage_difference> differences; // the first ones, in order of targets
    std::uint64_t differenceCount = 0;
    std::vector<instance_id> missing; // live instances that did not answer in time
    friend bool operator==(const sealed_window&, const sealed_window&) = default;
};

// The text that goes into the key-value service; equal windows give equal text.
std::string encodeSealed(const sealed_window& window);
result<sealed_window> decodeSealed(std::string_view text);

struct kv_entry {
    std::string key;
    std::string value;
};

// --- What the closer asks for --------------------------------------------------

// Ask one instance for its segments, and for copies it holds where `copies` names them.
struct pull_usage {
    instance_id instance;
    window_number window;
    std::vector<usage_position> positions; // sealed so far: own incarnations, and copies it is known to hold
    std::vector<usage_origin> copies; // origins whose copies are wanted
};
// Range read of all keys under the prefix; answer with onRead().
struct read_prefix {
    std::string prefix;
    bool keysOnly = false;
};
// One transaction: all of mustExist exist, none of mustNotExist does, then put.
struct commit_entries {
    std::vector<std::string> mustExist;
    std::vector<std::string> mustNotExist;
    std::vector<kv_entry> puts;
};
struct remove_prefix {
    std::string prefix;
};
// One POST /usage. The body is made from the sealed value alone.
struct report_usage {
    client_account_id account;
    window_number window;
    fencing_number fencing;
    std::string digest; // SHA-256 in hex of figures and late
    Json::Value figures;
    Json::Value late;
};
using closer_action = std::variant<pull_usage, read_prefix, commit_entries, remove_prefix, report_usage>;

// --- What it is told -----------------------------------------------------------

struct pull_answer {
    usage_origin from;
    std::optional<window_number> closedThrough;
    std::vector<usage_batch> batches; // own and copies
    std::vector<usage_position> held; // copies it keeps
};
Json::Value toJson(const pull_usage& pull);
result<pull_usage> pullUsageFromJson(const Json::Value& json);
Json::Value toJson(const pull_answer& answer);
result<pull_answer> pullAnswerFromJson(const Json::Value& json);

// The instance's side of a pull: cuts, drops what is sealed, and answers.
// Fresh segments are still to be sent to the copy holders: `fresh` gets them.
pull_answer answerPull(const pull_usage& pull, usage_counter& counter, usage_copies& copies, wall_time now, std::vector<usage_batch>& fresh);

enum class commit_outcome {
    Done,
    Conflict,
    Unavailable, // surely nothing happened
    Unknown, // the answer was lost
};
enum class report_outcome {
    Accepted,
    Conflict, // the sink holds other figures; counted, never repeated
    Lost, // refused for now, or the answer was lost: the same figures go again
};

struct closer_status {
    std::optional<window_number> sealed; // the last one
    std::uint64_t unreportedWindows = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t differences = 0;
    std::uint64_t corrupt = 0;
};

class usage_closer {
public:
    usage_closer(fencing_number term, closer_settings settings);

    // Call about once a second, and after each event below; do what it returns.
    std::vector<closer_action> tick(wall_time now, const std::vector<instance_id>& live);

    void onPull(const instance_id& asked, const result<pull_answer>& answer);
    void onRead(const std::string& prefix, const result<std::vector<kv_entry>>& entries);
    void onCommit(const commit_entries& commit, commit_outcome outcome);
    void onReport(const report_usage& report, report_outcome outcome);

    const closer_status& status() const { return m_status; }

private:
    enum class phase {
        Starting, // reading what is sealed and reported
        Waiting, // for the end of the next window
        Gathering,
        Sealing, // transaction under way
        Checking, // reading back after a conflict or a lost answer
    };
    struct reporting {
        std::vector<report_usage> reports; // in the order of accounts
        std::vector<char> done; // one for each report
        std::size_t sent = 0; // all below were sent at least once
        std::size_t finished = 0; // all below are done
        std::size_t marked = 0; // all below are done by the mark in the service
        std::size_t marking = 0; // a mark write with this value is under way
        std::set<std::size_t> inFlight;
        std::map<std::size_t, wall_time> again;
        bool markWritten = false; // the full mark stands
    };

    void start(wall_time now, std::vector<closer_action>& actions);
    void read(const std::string& prefix, bool keysOnly, wall_time now, std::vector<closer_action>& actions);
    void beginGathering(wall_time now, const std::vector<instance_id>& live, std::vector<closer_action>& actions);
    void gather(wall_time now, std::vector<closer_action>& actions);
    bool gathered() const;
    void askForCopies(wall_time now, std::vector<closer_action>& actions);
    sealed_window build() const;
    void seal(std::vector<closer_action>& actions);
    void adopt(const sealed_window& sealed);
    void report(wall_time now, std::vector<closer_action>& actions);
    void reportWindow(window_number window, reporting& state, wall_time now, std::vector<closer_action>& actions);
    void removeOld(std::vector<closer_action>& actions);
    void take(const usage_batch& batch);
    std::vector<usage_position> positionsFor(const instance_id& instance) const;

    fencing_number m_term;
    closer_settings m_settings;
    phase m_phase = phase::Starting;
    closer_status m_status;
    std::map<std::string, wall_time> m_reading; // prefix -> asked again after this time
    std::map<std::string, std::vector<kv_entry>> m_read;
    std::set<window_number> m_sealedKeys; // windows known to stand in the service
    std::map<window_number, std::size_t> m_marks; // reports done, by the marks read at the start
    std::set<window_number> m_toLoad; // sealed, not wholly reported, not loaded yet
    std::map<usage_origin, origin_mark> m_included; // after the last sealed window
    window_number m_window; // the one to seal next
    bool m_first = false; // no window was ever sealed
    std::set<instance_id> m_live; // at the start of gathering
    std::set<instance_id> m_answered; // answered for the whole of m_window
    std::map<instance_id, wall_time> m_asked;
    std::map<instance_id, std::map<usage_origin, segment_number>> m_holders;
    std::map<instance_id, std::set<usage_origin>> m_copiesAsked;
    std::map<usage_origin, std::vector<usage_batch>> m_batches; // chains that start at the mark
    std::map<window_number, reporting> m_reports;
    std::optional<wall_time> m_commitAgain;
    wall_time m_now {};
};

} // namespace lovagerail
