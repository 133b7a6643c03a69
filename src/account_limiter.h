// Rate limiting of client accounts: request rate with burst, concurrency, tokens a minute.
//
// Each instance enforces its own share of an account's limit, so that admitting a
// request needs no call to another instance. Shares are leased. Every instance reports
// the demand it sees; one instance, the holder of the allocation duty, splits each limit
// in proportion to demand; a share that is not renewed expires. A lease counts against
// the limit until it expires, even if its holder crashed or can't be reached, so the
// shares in use never add up to more than the limit. An instance without a lease still
// has an equal part of a reserve that is never leased.
//
// Shares are in millionths of the account's limit. Cost: O(log accounts) per request;
// O(instances of the account) per renewed lease.
#pragma once

#include "objects.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerail {

constexpr std::uint32_t fullShare = 1'000'000; // the whole limit, in millionths

struct limiter_settings {
    std::uint32_t reservedShare = 100'000; // of each limit, split evenly between all instances, never leased
    duration leaseDuration = std::chrono::seconds(5);
    duration demandExpiry = std::chrono::seconds(10); // an instance gets no lease if its last report is older
    std::size_t maxAccountsPerReport = 64; // a demand report lists only the accounts with the largest demand
};

// --- Enforcement, on each instance ---------------------------------------------

enum class limit_reason {
    Within,
    RequestRate,
    Concurrency,
    TokenRate,
};
std::string_view toString(limit_reason reason);

struct admission_result {
    limit_reason reason = limit_reason::Within;
    duration retryAfter {};
};

// An account's requests at one instance since the last report.
struct account_demand {
    client_account_id account;
    std::uint64_t requests = 0; // includes rejected ones

    friend bool operator==(const account_demand&, const account_demand&) = default;
};

struct demand_report {
    std::uint64_t number = 0; // sequence number, per instance
    std::vector<account_demand> rows;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

// A leased share of one account's limit. The holder counts `left` from the time when it
// sent report number `report`, so a slow message makes the lease shorter, never longer.
struct account_share {
    instance_id holder;
    client_account_id account;
    std::uint32_t share = 0; // millionths
    std::uint64_t report = 0; // number of the holder's latest report received
    duration left {}; // remaining time of the lease

    friend bool operator==(const account_share&, const account_share&) = default;
};

class account_limiter {
public:
    explicit account_limiter(limiter_settings settings = {});

    // The number of live instances; a single instance has the whole limit.
    void setInstances(std::uint32_t count);
    // Takes over the leases that name `self` as the holder and ignores the others.
    void applyShares(const instance_id& self, const std::vector<account_share>& shares);

    // Admits or rejects one request. Charges the estimated tokens if admitted; each
    // admitted request must be followed by finished().
    admission_result admit(const client_account_id& account, const account_limits& limits, std::uint64_t tokens, instant now);
    // Releases the concurrency slot and replaces the estimated tokens by those used.
    void finished(const client_account_id& account, const account_limits& limits, std::uint64_t estimated, std::uint64_t used, instant now);

    // Returns the demand since the last report and resets it. To be sent about once a second.
    demand_report takeDemand(instant now);
    std::uint32_t shareOf(const client_account_id& account, instant now) const;
    // Evicts accounts that have been idle for longer than any bucket takes to fill.
    void dropIdle(instant now);

private:
    // Two token buckets and the lease of one account. Invariant: a bucket holds at most
    // its burst; `tokens` is negative after a request that used more than was estimated.
    struct account_state {
        double requests = 0; // level of the request bucket
        double tokens = 0; // level of the token bucket
        bool initialised = false; // buckets start full
        instant lastRefill;
        std::uint64_t running = 0;
        std::uint64_t demand = 0; // since the last report
        std::uint32_t leased = 0; // millionths
        instant leaseEnd;
    };
    void refill(account_state& state, const account_limits& limits, double share, instant now) const;
    std::uint32_t shareOf(const account_state* state, instant now) const;

    limiter_settings m_settings;
    std::uint32_t m_instances = 1;
    std::map<client_account_id, account_state> m_accounts;
    std::uint64_t m_lastReportNumber = 0;
    std::deque<std::pair<std::uint64_t, instant>> m_sentReports; // number and send time of the latest ones
};

// --- Allocation, on the instance that holds the duty ------------------------------

// Splits the limit of each account between the instances by their demand.
class share_allocator {
public:
    explicit share_allocator(limiter_settings settings = {});

    // Takes over the duty. Grants nothing for one lease duration: shares that the previous
    // holder leased, which are not known here, may be in use until then.
    void begin(instant now);
    void onDemand(const instance_id& from, const demand_report& report, instant now);
    // Grants or renews leases for all instances with a recent report.
    std::vector<account_share> allocate(instant now);

private:
    struct instance_state {
        double demand = 0; // exponential moving average of its reports
        instant lastReportAt;
        std::uint64_t report = 0; // number of the latest one
        std::uint32_t leased = 0;
        instant leaseEnd;
    };
    using account_instances = std::map<instance_id, instance_state>;
    void allocate(const client_account_id& account, account_instances& instances, instant now, std::vector<account_share>& out) const;

    limiter_settings m_settings;
    instant m_grantsFrom; // no lease is granted before this time; set by begin()
    std::map<client_account_id, account_instances> m_accounts;
};

Json::Value toJson(const demand_report& report);
demand_report demandFromJson(const Json::Value& value);
Json::Value toJson(const std::vector<account_share>& shares);
std::vector<account_share> sharesFromJson(const Json::Value& value);

} // namespace lovagerail
