// Usage accounting at the instance that served the requests.
//
// Counts accumulate in an open segment. Once per flush interval the segment is closed:
// it gets a sequence number, becomes immutable and is copied to other instances.
// Segments of one incarnation (one process lifetime of an instance) are numbered without
// gaps and their windows never decrease. So "all segments below n" states exactly what a
// reader has, and duplicate or reordered deliveries are discarded by number. An instance
// that fails loses at most two flush intervals of counts: its open segment and the
// segment whose copies are still in transit.
//
// Cost: O(log r) per event for r rows in the open segment. Memory is bounded by the
// remembered event hashes and by the segments that are not yet sealed (see usage_window.h).
#pragma once

#include "error.h"
#include "types.h"

#include <cstdint>
#include <json/json.h>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace lovagerail {

// An accounting window of calendar time, numbered from the epoch in units of windowLength.
using window_number = number_id<struct usage_window_tag>;
// Sequence number of a segment within one incarnation of an instance.
using segment_number = number_id<struct usage_segment_tag>;

struct usage_settings {
    std::chrono::milliseconds windowLength { std::chrono::minutes(5) };
    std::chrono::milliseconds flushInterval { std::chrono::seconds(2) };
    std::size_t copies = 2; // other instances that store a copy of each segment
    std::size_t rememberedEvents = 1 << 15; // for duplicate detection; per generation, of which two are kept
    std::uint64_t copyRetention = 288; // in windows; older unsealed segments are dropped
};

window_number windowOf(wall_time now, const usage_settings& settings);
wall_time windowEnd(window_number window, const usage_settings& settings);

// Accounting category of an attempt, by how it ended. The account is charged for all
// categories except Retried and Refused.
enum class usage_heading : std::uint8_t {
    Ended,
    Cancelled, // by the client
    Died, // the target or the attempt failed and no other attempt replaced it
    Resumed, // the client received this part; another attempt continued from there
    Retried, // discarded and run again; at the operator's expense
    Refused, // rejected before it ran
};
std::string_view toString(usage_heading heading);
bool isCharged(usage_heading heading);

struct usage_figures {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    token_count prefilled;
    token_count cached;
    token_count generated;
    std::chrono::milliseconds targetTime { 0 };

    usage_figures& operator+=(const usage_figures& other);
    friend bool operator==(const usage_figures&, const usage_figures&) = default;
};

struct usage_key {
    client_account_id account;
    model_id model;
    weight_version version;
    pool_id pool;
    usage_heading heading = usage_heading::Ended;
    friend auto operator<=>(const usage_key&, const usage_key&) = default;
};

// Resources used by one attempt, reported by the router when the attempt ends.
struct attempt_usage {
    request_id request;
    attempt_id attempt;
    client_account_id account;
    model_id model; // empty for services without a model
    weight_version version;
    pool_id pool;
    target_id target;
    usage_heading heading = usage_heading::Ended;
    bool continuesAnswer = false; // an earlier attempt was Resumed; this one's repeated prefill is not charged
    usage_figures counted; // from the streamed chunks; `requests` and `refused` are ignored
    std::optional<usage_figures> reportedByTarget; // the usage field of the target's response
};

struct refused_usage {
    request_id request;
    client_account_id account;
    model_id model;
    pool_id pool;
};

// Usage at one target, as counted here and as reported by the target itself.
struct target_usage {
    usage_figures counted;
    usage_figures reported;

    target_usage& operator+=(const target_usage& other);
    friend bool operator==(const target_usage&, const target_usage&) = default;
};

// The same usage summed independently by account and by target, so that the two sums
// can be checked against each other.
struct usage_ledger {
    std::map<usage_key, usage_figures> accounts;
    std::map<target_id, target_usage> targets;

    usage_ledger& operator+=(const usage_ledger& other);
    bool empty() const { return accounts.empty() && targets.empty(); }
    friend bool operator==(const usage_ledger&, const usage_ledger&) = default;
};

// One incarnation of an instance; each has its own sequence of segments.
struct usage_origin {
    instance_id instance;
    incarnation incarnationNumber;
    friend auto operator<=>(const usage_origin&, const usage_origin&) = default;
};

// The sum of the segments [first, next) of one origin, all of the same window.
// A single segment is a batch with next = first + 1.
struct usage_batch {
    usage_origin origin;
    segment_number first;
    segment_number next;
    window_number window;
    usage_ledger figures;
    friend bool operator==(const usage_batch&, const usage_batch&) = default;
};

Json::Value toJson(const usage_batch& batch);
result<usage_batch> usageBatchFromJson(const Json::Value& json);

// Ordered log of the immutable segments of one origin, from the first unsealed one on.
class segment_log {
public:
    // Appends the next segment; ignores duplicates and segments that would leave a gap.
    void add(const usage_batch& segment);
    // Batches from `from` on, one per window up to `last`. The first batch starts at
    // `from` even if segments were dropped there, as all below the log's start is sealed.
    std::vector<usage_batch> batches(segment_number from, window_number last) const;
    // Drops segments below `sealed`; they are no longer needed once sealed.
    void dropBelow(segment_number sealed);
    // Drops segments of windows before `oldest`; returns how many unsealed ones were dropped.
    std::size_t dropWindowsBefore(window_number oldest);
    segment_number start() const { return m_segments.empty() ? m_next : m_segments.begin()->first; }
    segment_number next() const { return m_next; }
    const std::map<segment_number, usage_batch>& segments() const { return m_segments; }

private:
    std::map<segment_number, usage_batch> m_segments; // without gaps, ends before m_next
    segment_number m_next;
};

// Counts this incarnation's usage. Owned by the control thread.
class usage_counter {
public:
    usage_counter(usage_origin self, usage_settings settings);

    // Counts an event once; returns false for a duplicate.
    bool count(const attempt_usage& event, wall_time now);
    bool count(const refused_usage& event, wall_time now);

    // Closes the open segment and returns the segments closed since the last call, for
    // the copy holders. Call every flush interval, at shutdown, and before batches().
    std::vector<usage_batch> closeSegment(wall_time now);
    // Segments of windows up to `last`, summed per window, for the usage closer.
    std::vector<usage_batch> batches(segment_number from, window_number last) const;
    // The last window whose counts are final, as are those of all earlier windows.
    std::optional<window_number> closedThrough(wall_time now) const;
    void dropBelow(segment_number sealed) { m_log.dropBelow(sealed); }

    const usage_origin& origin() const { return m_self; }
    const segment_log& log() const { return m_log; }
    std::uint64_t duplicateEvents() const { return m_duplicates; }
    std::uint64_t expiredSegments() const { return m_expiredSegments; }

private:
    bool isFirstOccurrence(std::uint64_t event);
    void advanceTo(wall_time now);
    void closeOpenSegment();

    usage_origin m_self;
    usage_settings m_settings;
    usage_ledger m_open; // the open segment, of m_window
    window_number m_window; // never decreases, even if the system clock is set back
    segment_log m_log;
    std::vector<usage_batch> m_closedSegments; // closed and not yet returned to the caller
    std::unordered_set<std::uint64_t> m_seen; // hashes of counted events; never iterated
    std::unordered_set<std::uint64_t> m_seenPrevious; // the previous generation
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_expiredSegments = 0;
};

struct usage_position {
    usage_origin origin;
    segment_number next; // all segments below are stored here or sealed
    friend bool operator==(const usage_position&, const usage_position&) = default;
};

// Message that carries segments to one instance that stores copies.
struct copy_push {
    usage_origin origin;
    segment_number unsealedFrom; // all segments below are sealed
    std::vector<usage_batch> segments;
};
Json::Value toJson(const copy_push& push);
result<copy_push> copyPushFromJson(const Json::Value& json);

// Keeps the copy holders up to date, with at most one push in flight to each.
class copy_sender {
public:
    // The pushes to send now. State of holders that are not listed is dropped.
    std::map<instance_id, copy_push> nextPushes(const usage_origin& self, const segment_log& log, const std::vector<instance_id>& holders);
    // The holder confirmed that it stores all segments below `next`. This may be less than
    // was confirmed before, if the holder restarted.
    void acknowledged(const instance_id& holder, segment_number next);
    void failed(const instance_id& holder); // the next call to nextPushes() sends the same segments again

private:
    struct progress {
        segment_number next;
        bool inFlight = false;
    };
    std::map<instance_id, progress> m_holders;
};

// Copies of the segments of other instances, kept in case those instances fail.
class usage_copies {
public:
    explicit usage_copies(usage_settings settings);

    // Returns the end of the stored log, which the sender passes to copy_sender::acknowledged().
    segment_number add(const copy_push& push, wall_time now);
    std::vector<usage_position> held() const;
    std::vector<usage_batch> batches(const usage_origin& origin, segment_number from, window_number last) const;
    void dropBelow(const usage_position& sealed);
    // Drops segments older than copyRetention.
    void expire(wall_time now);

private:
    struct origin_copies {
        segment_log log;
        window_number lastPush; // window of the last push from this origin
    };
    usage_settings m_settings;
    std::map<usage_origin, origin_copies> m_logs;
};

// Chooses the instances that store copies of the segments of `self`: rendezvous hashing
// over the live instances, preferring other failure domains. Sorted by preference.
struct copy_candidate {
    instance_id instance;
    failure_domain_id failureDomain;
};
std::vector<instance_id> copyHolders(const copy_candidate& self, const std::vector<copy_candidate>& live, std::size_t copies);

} // namespace lovagerail
