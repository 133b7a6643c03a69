// Closes usage windows: collects the segments of all instances after the end of a window,
// seals their sum as an immutable value in the key-value service, and reports it to the
// platform. Runs on one instance at a time, the holder of the usage-closer lease.
//
// A closer object serves one term of the lease; a new one is made with the new fencing
// number after each change of holder. Windows are sealed in order. Each sealed value
// states up to which segment every origin is included, so each segment is in exactly one
// sealed window: its own, or a later one as late usage. Sealing is a create-only
// transaction that requires the previous window to exist. So neither a second closer, nor
// a delayed write, nor a write that lands after old windows were removed can produce a
// second figure. Reports are made only from sealed values.
//
// Calls per window: one pull from each live instance (and a second one from copy holders
// if an origin does not answer), one range read, one transaction, one checkpoint per
// `accountsPerCheckpoint` accounts, one report per account with usage.
#pragma once

#include "usage_pull.h"
#include "usage_sealed.h"

#include <set>
#include <string>
#include <variant>

namespace lovagerail {

struct closer_settings {
    usage_settings usage;
    std::chrono::milliseconds pullDelay { std::chrono::seconds(3) }; // from the end of the window to the first pull
    std::chrono::milliseconds grace { std::chrono::seconds(30) }; // from the end of the window until it is sealed even if answers are missing
    std::chrono::milliseconds retryAfter { std::chrono::seconds(2) };
    std::uint64_t windowsRetained = 288; // number of sealed windows that are retained once they are fully reported
    std::size_t maxReportsInFlight = 8;
    std::size_t accountsPerCheckpoint = 250;
    byte_count valueLimit { 900'000 };
};

constexpr std::string_view sealedPrefix = "/lovagerail/usage/sealed/";
constexpr std::string_view reportedPrefix = "/lovagerail/usage/reported/";
constexpr std::string_view floorKey = "/lovagerail/usage/floor"; // exists once any window was sealed

struct key_value_pair {
    std::string key;
    std::string value;
};

// --- Actions requested by the closer; each is answered once, also if its result was lost ---

// Range read of all keys under the prefix; answered by onRead().
struct read_prefix {
    std::string prefix;
    bool keysOnly = false;
};
// One transaction: writes `puts` if all keys of mustExist exist and none of mustNotExist does.
struct commit_entries {
    std::vector<std::string> mustExist;
    std::vector<std::string> mustNotExist;
    std::vector<key_value_pair> puts;
};
// Range delete of [from, to); not answered.
struct remove_range {
    std::string from;
    std::string to;
};
using closer_action = std::variant<pull_usage, read_prefix, commit_entries, remove_range, report_usage>;

enum class commit_outcome {
    Done,
    Conflict,
    Unavailable, // nothing was written
    Unknown, // the answer was lost; it may have been written
};
enum class report_outcome {
    Accepted,
    Conflict, // the platform already has different figures; counted and not retried
    Lost, // temporarily refused, or the answer was lost; retried with the same figures
};

struct closer_status {
    std::optional<window_number> sealed; // the last sealed window
    std::uint64_t unreportedWindows = 0;
    std::uint64_t conflicts = 0; // reports that the platform permanently refused
    std::uint64_t differences = 0; // between sums that should be equal, in the windows loaded in this term
    std::uint64_t corrupt = 0; // stored values that could not be decoded
};

namespace detail {

    // Sends the reports of one sealed window, with a bounded number in flight.
    class window_reporting {
    public:
        window_reporting(std::vector<report_usage> reports, std::size_t checkpointed);

        void send(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions);
        void onReport(const client_account_id& account, report_outcome outcome, wall_time retryAt);
        void onCheckpoint(commit_outcome outcome, wall_time retryAt);
        bool finished() const { return m_finalCheckpointStored; }

    private:
        void writeCheckpoint(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions);

        std::vector<report_usage> m_reports; // sorted by account
        std::vector<char> m_done;
        std::size_t m_sent; // all reports below were sent at least once
        std::size_t m_finished; // all reports below are done
        std::size_t m_checkpointed; // all reports below are done according to the stored checkpoint
        std::optional<std::size_t> m_checkpointInFlight; // value of the checkpoint write in flight
        bool m_finalCheckpointStored = false; // the checkpoint of all reports is stored
        std::set<std::size_t> m_inFlight;
        std::map<std::size_t, wall_time> m_retryAt;
        wall_time m_checkpointRetryAt {};
    };

} // namespace detail

class usage_closer {
public:
    usage_closer(fencing_number fencing, closer_settings settings);

    // Returns the actions to perform. Call about once per second and after each event below.
    std::vector<closer_action> tick(wall_time now, const std::vector<instance_id>& live);

    void onPull(const pull_usage& asked, const result<pull_answer>& answer);
    void onRead(const std::string& prefix, const result<std::vector<key_value_pair>>& entries);
    void onCommit(const commit_entries& commit, commit_outcome outcome);
    void onReport(const report_usage& report, report_outcome outcome);

    closer_status status() const;

private:
    enum class phase {
        Starting, // reading from the key-value service which windows are sealed and reported
        Waiting, // for the end of m_window
        Gathering, // pulling segments from the instances
        Sealing, // the sealing transaction is in flight
        Checking, // reading the sealed value back after a conflict or a lost answer
    };
    struct copy_request {
        wall_time askedAt {};
        bool answered = false;
    };
    using actions = std::vector<closer_action>;

    // Reads a prefix, with retries. Returns the entries once, when they have arrived.
    std::optional<std::vector<key_value_pair>> requestRead(const std::string& prefix, bool keysOnly, actions& out);
    void restart();
    void loadState(actions& out);
    void beginGathering(const std::vector<instance_id>& live);
    void gatherSegments(actions& out);
    void requestCopies(actions& out);
    bool isGatheringComplete() const;
    void addChain(const usage_origin& origin, const std::vector<usage_batch>& chain);
    void addBatches(const std::vector<usage_batch>& batches);
    sealed_window buildSealedWindow() const;
    void commitSeal(actions& out);
    void readBackSeal(actions& out);
    void continueAfter(const sealed_window& sealed);
    std::optional<sealed_window> decodeParts(window_number window, const std::vector<key_value_pair>& parts);
    void prepareReports(const sealed_window& sealed);
    void sendReports(actions& out);
    void removeOldWindows(actions& out);
    segment_number nextUnsealed(const usage_origin& origin) const;
    std::vector<usage_position> positionsFor(const instance_id& instance) const;

    fencing_number m_fencing;
    closer_settings m_settings;
    closer_status m_status;
    phase m_phase = phase::Starting;
    wall_time m_now {};
    std::map<std::string, wall_time> m_readsInFlight; // reads in flight: when sent, for retries
    std::map<std::string, std::vector<key_value_pair>> m_readResults; // results not yet consumed

    std::set<window_number> m_sealedWindows; // windows stored in the key-value service
    std::map<window_number, std::pair<std::size_t, bool>> m_checkpoints; // number of reports done, and whether that is all
    std::map<usage_origin, origin_position> m_included; // as of the last sealed window
    window_number m_window; // the next window to seal
    bool m_isFirstWindow = false; // m_window is the first window ever sealed

    std::set<instance_id> m_live; // live instances at the start of gathering
    std::map<instance_id, usage_origin> m_answered; // instances whose counts of m_window are complete
    std::map<instance_id, wall_time> m_asked;
    std::map<std::pair<instance_id, usage_origin>, copy_request> m_copyRequests;
    std::map<usage_origin, std::vector<usage_batch>> m_chains; // per origin, without gaps from the first unsealed segment on
    bool m_storedCountersRead = false; // the counters stored under countersPrefix were read
    wall_time m_deadline {}; // seal even if answers are missing
    wall_time m_commitRetryAt {};
    wall_time m_startRetryAt {};
    std::map<instance_id, std::map<usage_origin, segment_number>> m_copyHolders; // copy holder -> origins it stores, with their next segment

    std::map<window_number, detail::window_reporting> m_reports; // at most maxWindowsReporting, oldest first
};

} // namespace lovagerail
