// Limits of client accounts: request rate with burst, concurrency, tokens a minute.
//
// Each instance enforces its share of a limit, so no request needs a call. Shares
// are leased: instances tell their demand, one instance (whoever holds that duty)
// divides each limit by it, and a share ends by itself when it isn't renewed. While
// a lease that was given out may still be in use, it counts as spent, so the shares
// in use never sum to more than the whole, whoever dies or isn't heard. An
// instance without a lease has its part of a reserve that is never leased.
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

constexpr std::uint32_t wholeLimit = 1'000'000;

struct limiter_settings {
    std::uint32_t reserve = 100'000; // of each limit, divided evenly between all instances, never leased
    duration lease = std::chrono::seconds(5);
    duration demandMemory = std::chrono::seconds(10); // an instance not heard for so long gets no lease
    std::size_t mostReports = 64; // accounts in one demand report, the largest demand first
};

// --- Enforcement, on each instance ---------------------------------------------

enum class limit_reason {
    Within,
    RequestRate,
    Concurrency,
    TokenRate,
};
std::string_view toString(limit_reason reason);

struct limit_verdict {
    limit_reason reason = limit_reason::Within;
    duration retryAfter {};
};

// What an account asked of one instance since the last report.
struct account_demand {
    client_account_id account;
    std::uint64_t requests = 0; // also those over the limit

    friend bool operator==(const account_demand&, const account_demand&) = default;
};

struct demand_report {
    std::uint64_t number = 0; // grows with each report of an instance
    std::vector<account_demand> rows;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

// The holder counts `left` from the time when it sent the report that the share
// answers, so a message that is under way for long makes the lease shorter, never longer.
struct account_share {
    instance_id holder;
    client_account_id account;
    std::uint32_t share = 0; // millionths
    std::uint64_t report = 0; // the holder's last one that was heard
    duration left {}; // of the lease

    friend bool operator==(const account_share&, const account_share&) = default;
};

class account_limiter {
public:
    explicit account_limiter(limiter_settings settings = {});

    // How many instances there are; alone, an instance has the whole limit.
    void setInstances(std::uint32_t count);
    // Leased shares, beside the part of the reserve; those of others are left out.
    void onShares(const instance_id& self, const std::vector<account_share>& shares);

    // Admits one request with an estimate of its tokens; what it took is returned by finished().
    limit_verdict admit(const client_account_id& account, const account_limits& limits, std::uint64_t tokens, instant now);
    // The request is over; `used` replaces the estimate.
    void finished(const client_account_id& account, const account_limits& limits, std::uint64_t estimated, std::uint64_t used, instant now);

    // The demand since the last report; send it about once a second.
    demand_report takeDemand(instant now);
    std::uint32_t shareOf(const client_account_id& account, instant now) const;
    // Forgets accounts that have been idle for longer than any bucket takes to fill.
    void dropIdle(instant now);

private:
    // Invariant: the buckets hold at most their burst; tokens may be below zero
    // when a request used more than was estimated.
    struct account_state {
        double requests = 0; // in the bucket
        double tokens = 0;
        bool filled = false; // the buckets have begun full
        instant refilled;
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
    std::uint64_t m_lastReport = 0;
    std::deque<std::pair<std::uint64_t, instant>> m_reports; // the newest few, by number
};

// --- Division, on the instance that has the duty ----------------------------------

class share_divider {
public:
    explicit share_divider(limiter_settings settings = {});

    // Starts the duty. What an earlier holder leased may be in use for one lease.
    void begin(instant now);
    void onDemand(const instance_id& from, const demand_report& report, instant now);
    // New leases for all instances heard lately.
    std::vector<account_share> divide(instant now);

private:
    struct holder_state {
        double demand = 0; // moving average of reports
        instant heard;
        std::uint64_t report = 0; // the last one heard
        std::uint32_t leased = 0;
        instant leaseEnd;
    };
    using holders = std::map<instance_id, holder_state>;
    void divide(const client_account_id& account, holders& held, instant now, std::vector<account_share>& out) const;

    limiter_settings m_settings;
    instant m_begins; // no lease before
    std::map<client_account_id, holders> m_accounts;
};

Json::Value toJson(const demand_report& report);
demand_report demandFromJson(const Json::Value& value);
Json::Value toJson(const std::vector<account_share>& shares);
std::vector<account_share> sharesFromJson(const Json::Value& value);

} // namespace lovagerail
