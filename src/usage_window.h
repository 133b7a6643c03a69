// Closing of usage windows: the duty of one instance at a time.
//
// One closer object serves one term of the duty; make a new one with the new
// fencing number after each take-over. Windows are sealed in order. Each sealed
// value says how far every origin's segments are included, so that a segment is
// in exactly one sealed window: its own, or a later one as late usage. Sealing is
// create-only and requires the window before, so neither a second closer, nor a
// delayed write, nor one that lands after old windows were removed can make a
// second figure. Reports are made from sealed values alone.
//
// Calls a window: one pull to each live instance (and a second one to holders of
// copies where an origin does not answer), one range read, one transaction, one
// mark for each `accountsPerMark` accounts, one report for each account with usage.
#pragma once

#include "usage_pull.h"
#include "usage_sealed.h"

#include <set>
#include <string>
#include <variant>

namespace lovagerail {

struct closer_settings {
    usage_settings usage;
    std::chrono::milliseconds settle { std::chrono::seconds(3) }; // after the end, before the first pull
    std::chrono::milliseconds grace { std::chrono::seconds(30) }; // after the end, before sealing regardless
    std::chrono::milliseconds retryAfter { std::chrono::seconds(2) };
    std::uint64_t keepWindows = 288; // sealed windows kept, if wholly reported
    std::size_t reportsInFlight = 8;
    std::size_t accountsPerMark = 250;
    byte_count valueLimit { 900'000 };
};

constexpr std::string_view sealedPrefix = "/lovagerail/usage/sealed/";
constexpr std::string_view reportedPrefix = "/lovagerail/usage/reported/";
constexpr std::string_view floorKey = "/lovagerail/usage/floor"; // stands once any window was sealed

struct key_text {
    std::string key;
    std::string value;
};

// --- What the closer asks for; each gets one answer, a lost one included ---------

// Range read of all keys under the prefix; answer with onRead().
struct read_prefix {
    std::string prefix;
    bool keysOnly = false;
};
// One transaction: if all of mustExist exist and none of mustNotExist does, put.
struct commit_entries {
    std::vector<std::string> mustExist;
    std::vector<std::string> mustNotExist;
    std::vector<key_text> puts;
};
// One range delete of [from, to); needs no answer.
struct remove_range {
    std::string from;
    std::string to;
};
using closer_action = std::variant<pull_usage, read_prefix, commit_entries, remove_range, report_usage>;

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
    std::uint64_t conflicts = 0; // reports that the sink refused for good
    std::uint64_t differences = 0; // between sums, of the windows seen in this term
    std::uint64_t corrupt = 0; // values that did not decode
};

namespace detail {

    // Sends one sealed window's reports, a bounded number at a time.
    class window_reporting {
    public:
        window_reporting(std::vector<report_usage> reports, std::size_t marked);

        void send(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions);
        void onReport(const client_account_id& account, report_outcome outcome, wall_time retryAt);
        void onMark(commit_outcome outcome, wall_time retryAt);
        bool finished() const { return m_markWritten; }

    private:
        void mark(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions);

        std::vector<report_usage> m_reports; // in the order of accounts
        std::vector<char> m_done;
        std::size_t m_sent; // all below were sent at least once
        std::size_t m_finished; // all below are done
        std::size_t m_marked; // all below are done by the mark in the service
        std::optional<std::size_t> m_marking; // a mark under way
        bool m_markWritten = false; // the mark of all reports stands
        std::set<std::size_t> m_inFlight;
        std::map<std::size_t, wall_time> m_again;
        wall_time m_markAgain {};
    };

} // namespace detail

class usage_closer {
public:
    usage_closer(fencing_number term, closer_settings settings);

    // Call about once a second, and after each event below; do what it returns.
    std::vector<closer_action> tick(wall_time now, const std::vector<instance_id>& live);

    void onPull(const pull_usage& asked, const result<pull_answer>& answer);
    void onRead(const std::string& prefix, const result<std::vector<key_text>>& entries);
    void onCommit(const commit_entries& commit, commit_outcome outcome);
    void onReport(const report_usage& report, report_outcome outcome);

    closer_status status() const;

private:
    enum class phase {
        Starting, // reading which windows are sealed and reported
        Waiting, // for the end of the next window
        Gathering,
        Sealing, // transaction under way
        Checking, // reading back after a conflict or a lost answer
    };
    struct copy_request {
        wall_time askedAt {};
        bool answered = false;
    };
    using actions = std::vector<closer_action>;

    // Asks until answered; the answer is moved out once.
    std::optional<std::vector<key_text>> read(const std::string& prefix, bool keysOnly, actions& out);
    void restart();
    void start(actions& out);
    void beginGathering(const std::vector<instance_id>& live);
    void gather(actions& out);
    void askForCopies(actions& out);
    bool gathered() const;
    void take(const usage_origin& origin, const std::vector<usage_batch>& chain);
    void takeAll(const std::vector<usage_batch>& batches);
    sealed_window build() const;
    void seal(actions& out);
    void check(actions& out);
    void adopt(const sealed_window& sealed);
    std::optional<sealed_window> decode(window_number window, const std::vector<key_text>& parts);
    void prepareReports(const sealed_window& sealed);
    void report(actions& out);
    void removeOld(actions& out);
    segment_number markOf(const usage_origin& origin) const;
    std::vector<usage_position> positionsFor(const instance_id& instance) const;

    fencing_number m_term;
    closer_settings m_settings;
    closer_status m_status;
    phase m_phase = phase::Starting;
    wall_time m_now {};
    std::map<std::string, wall_time> m_reading; // asked at; asked again if that is long ago
    std::map<std::string, std::vector<key_text>> m_read;

    std::set<window_number> m_sealed; // windows that stand in the service
    std::map<window_number, std::pair<std::size_t, bool>> m_marks; // reports done, and whether all
    std::map<usage_origin, origin_mark> m_included; // by the last sealed window
    window_number m_window; // the one to seal next
    bool m_first = false; // no window was ever sealed

    std::set<instance_id> m_live; // at the start of gathering
    std::map<instance_id, usage_origin> m_answered; // for the whole of m_window
    std::map<instance_id, wall_time> m_asked;
    std::map<std::pair<instance_id, usage_origin>, copy_request> m_copyRequests;
    std::map<usage_origin, std::vector<usage_batch>> m_chains; // start at the origin's mark, gapless
    bool m_keptRead = false; // the counters kept in the service
    wall_time m_deadline {}; // seal with what is there
    wall_time m_commitAgain {};
    wall_time m_startAgain {};
    std::map<instance_id, std::map<usage_origin, segment_number>> m_holders; // who keeps copies of whom

    std::map<window_number, detail::window_reporting> m_reports; // a few at a time, oldest first
};

} // namespace lovagerail
