// Usage counting at the instance that served the work.
//
// Figures gather in an open segment. Every flush interval the segment is cut: it
// gets a number, never changes again and is copied to other instances. Segments
// of one incarnation are numbered without gaps and their windows never go back,
// so "all below n" names exactly what a reader has, and repeats or reorderings
// are dropped by number. What dies with an instance is at most its open segment
// and the segment whose copies are on their way: two flush intervals of counts.
//
// Cost: O(log r) an event for r rows in the open segment; memory is bounded by
// the remembered events and by the segments not yet sealed.
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

// A span of calendar time, counted from the epoch in window lengths.
using window_number = number_id<struct usage_window_tag>;
// The order of segments within one incarnation of an instance.
using segment_number = number_id<struct usage_segment_tag>;

struct usage_settings {
    std::chrono::milliseconds windowLength { std::chrono::minutes(5) };
    std::chrono::milliseconds flushInterval { std::chrono::seconds(2) };
    std::size_t copies = 2; // other instances that hold each segment
    std::size_t rememberedEvents = 1 << 15; // per generation; two generations are kept
    std::uint64_t copyRetention = 288; // windows after which unsealed segments are dropped
};

window_number windowOf(wall_time now, const usage_settings& settings);
wall_time windowEnd(window_number window, const usage_settings& settings);

// How a piece of work ended. All but Retried is charged to the account.
enum class usage_heading : std::uint8_t {
    Ended,
    Cancelled, // by the caller
    Died, // the target or our attempt failed and nothing took over
    Resumed, // the caller got this part; another attempt went on from there
    Retried, // thrown away and run again; the operator pays
    Refused, // never ran
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

// What one attempt used, as told by the router when it ended.
struct attempt_usage {
    request_id request;
    attempt_id attempt;
    client_account_id account;
    model_id model; // empty for plain services
    weight_version version;
    pool_id pool;
    target_id target;
    usage_heading heading = usage_heading::Ended;
    bool continuesAnswer = false; // an earlier attempt was Resumed: the repeated prefill is the operator's
    usage_figures counted; // from the chunks; `requests` and `refused` are ignored
    std::optional<usage_figures> reportedByTarget; // the target's own usage field
};

struct refused_usage {
    request_id request;
    client_account_id account;
    model_id model;
    pool_id pool;
};

// Work at one target: as we counted it, and as the target itself reports it.
struct target_usage {
    usage_figures counted;
    usage_figures reported;

    target_usage& operator+=(const target_usage& other);
    friend bool operator==(const target_usage&, const target_usage&) = default;
};

// The same work added up twice, by account and by target, on separate paths.
struct usage_ledger {
    std::map<usage_key, usage_figures> accounts;
    std::map<target_id, target_usage> targets;

    usage_ledger& operator+=(const usage_ledger& other);
    bool empty() const { return accounts.empty() && targets.empty(); }
    friend bool operator==(const usage_ledger&, const usage_ledger&) = default;
};

// One incarnation of an instance: the source of a sequence of segments.
struct usage_origin {
    instance_id instance;
    incarnation life;
    friend auto operator<=>(const usage_origin&, const usage_origin&) = default;
};

// The segments [first, next) of one origin, all of one window, added up.
// A fresh segment is a batch with next = first + 1.
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

// Immutable segments of one origin, in order, from the first not yet sealed.
class segment_log {
public:
    // Takes the next segment; drops repeats and what would leave a gap.
    void add(const usage_batch& segment);
    // Batches from `from` on, one for each window up to `last`. The first one starts
    // at `from` even if segments were dropped there: below the log's start all is sealed.
    std::vector<usage_batch> batches(segment_number from, window_number last) const;
    // Segments below are sealed: they aren't needed any more.
    void dropBelow(segment_number sealed);
    // Drops segments of windows before `oldest`; returns how many unsealed ones went.
    std::size_t dropWindowsBefore(window_number oldest);
    segment_number start() const { return m_segments.empty() ? m_next : m_segments.begin()->first; }
    segment_number next() const { return m_next; }
    const std::map<segment_number, usage_batch>& segments() const { return m_segments; }

private:
    std::map<segment_number, usage_batch> m_segments; // gapless, ends at m_next
    segment_number m_next;
};

// Counts this incarnation's work. Owned by the decision thread.
class usage_counter {
public:
    usage_counter(usage_origin self, usage_settings settings);

    // Count an event once; false if it was counted before.
    bool count(const attempt_usage& event, wall_time now);
    bool count(const refused_usage& event, wall_time now);

    // Cuts the open segment. Call every flush interval, at shutdown, and before
    // batches(); send each result to the copy holders.
    std::vector<usage_batch> cut(wall_time now);
    // Segments of windows up to `last`, folded by window, for the closer.
    std::vector<usage_batch> batches(segment_number from, window_number last) const;
    // Nothing will be counted any more for this window and all before it.
    std::optional<window_number> closedThrough(wall_time now) const;
    void dropBelow(segment_number sealed) { m_log.dropBelow(sealed); }

    const usage_origin& origin() const { return m_self; }
    const segment_log& log() const { return m_log; }
    std::uint64_t repeatedEvents() const { return m_repeated; }
    std::uint64_t expiredSegments() const { return m_expired; }

private:
    bool firstSight(std::uint64_t event);
    void moveTo(wall_time now);
    void cutOpen();

    usage_origin m_self;
    usage_settings m_settings;
    usage_ledger m_open; // of m_window
    window_number m_window; // never goes back, whatever the calendar does
    segment_log m_log;
    std::vector<usage_batch> m_fresh; // cut and not yet given to the caller of cut()
    std::unordered_set<std::uint64_t> m_seen; // hashes of events; never iterated
    std::unordered_set<std::uint64_t> m_seenBefore; // the generation before
    std::uint64_t m_repeated = 0;
    std::uint64_t m_expired = 0;
};

struct usage_position {
    usage_origin origin;
    segment_number next; // all segments below are held or sealed
    friend bool operator==(const usage_position&, const usage_position&) = default;
};

// Segments on their way to one holder of copies.
struct copy_push {
    usage_origin origin;
    segment_number unsealedFrom; // all below are sealed
    std::vector<usage_batch> segments;
};
Json::Value toJson(const copy_push& push);
result<copy_push> copyPushFromJson(const Json::Value& json);

// Brings the holders of copies up to date, one push to each at a time.
class copy_sender {
public:
    // What to send now. A holder that isn't listed any more is forgotten.
    std::map<instance_id, copy_push> pushes(const usage_origin& self, const segment_log& log, const std::vector<instance_id>& holders);
    // The holder answered that it holds all below `next`; it may have restarted with less.
    void acknowledged(const instance_id& holder, segment_number next);
    void failed(const instance_id& holder); // the same segments go again with the next call

private:
    struct progress {
        segment_number next;
        bool underWay = false;
    };
    std::map<instance_id, progress> m_holders;
};

// Segments of other instances that this one keeps in case they die.
class usage_copies {
public:
    explicit usage_copies(usage_settings settings);

    // Returns what is held afterwards: the answer for copy_sender::acknowledged().
    segment_number add(const copy_push& push, wall_time now);
    std::vector<usage_position> held() const;
    std::vector<usage_batch> batches(const usage_origin& origin, segment_number from, window_number last) const;
    void dropBelow(const usage_position& sealed);
    // Drops what is older than the retention.
    void expire(wall_time now);

private:
    struct kept {
        segment_log log;
        window_number touched; // the last window in which its origin pushed
    };
    usage_settings m_settings;
    std::map<usage_origin, kept> m_kept;
};

// The instances that hold copies of `self`: rendezvous hashing over the live
// ones, in another failure domain first. Sorted by preference.
struct copy_candidate {
    instance_id instance;
    failure_domain_id failureDomain;
};
std::vector<instance_id> copyHolders(const copy_candidate& self, const std::vector<copy_candidate>& live, std::size_t copies);

} // namespace lovagerail
