// JSON form of demand reports and of the shares in their answers, between instances. The fields for
// shares are optional: instances of older versions neither send nor read them.
#pragma once

#include "batch_runner.h"
#include "pool_shares.h"

#include <json/value.h>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

struct model_demand_report {
    instance_id from;
    std::vector<model_demand> models;
};

// Shares of one owner, with the time for which they are valid.
struct granted_shares {
    std::map<share_key, leased_slots> shares; // empty: nothing is limited
    duration validity {};
};

// Validity of shares and reports: over three periods of 0.4 s, so that single lost ones don't matter.
constexpr duration demandLifetime = std::chrono::milliseconds(1500);

Json::Value encodeDemand(const model_demand_report& report);
// Empty if it is no report.
std::optional<model_demand_report> decodeDemand(const Json::Value& value);
Json::Value encodeShares(const granted_shares& granted);
// Malformed rows are skipped; an answer of an older version has no shares. The validity is at most
// demandLifetime, whatever the answer states.
granted_shares decodeShares(const Json::Value& value);

// The claim of a report's row that is `age` old.
slot_claim claimOf(const instance_id& owner, const model_demand& demand, duration age);

} // namespace lovagerail
