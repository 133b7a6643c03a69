// Stores copies of payloads (prompts and judged samples) of runs on an instance, and
// chooses the instances that store a payload.
//
// The ledger identifies the valid payload by its digest; a store only returns the bytes
// with that digest or NotFound. Copies are placed on `copies` instances in different
// failure domains, preferably on instances with a data folder. With two copies, the loss
// of any one instance loses no payload. The loss of two at once loses the payloads stored
// on exactly these two: on average 2/(n(n-1)) of all for n instances that are alike. Lost
// payloads that weren't acknowledged are generated again.
#pragma once

#include "error.h"
#include "ledger.h"
#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

// An instance that could store payloads.
struct holder_candidate {
    payload_holder holder;
    failure_domain_id failureDomain;
    bool hasDataFolder = false;
    bool leaving = false;
};

// Rendezvous hashing on the key, with preference for instances that aren't leaving, then
// for a further failure domain, then for a data folder. Fewer than `copies` are returned
// only if there are fewer candidates. O(n log n) per call; all samples of a batch share
// a key, so it is called once per batch.
std::vector<payload_holder> chooseHolders(std::string_view key, const std::vector<holder_candidate>& candidates, std::size_t copies);

// Bounded in bytes. A payload that doesn't fit is refused and nothing is evicted, since a
// confirmed copy must be kept until its step is acknowledged. O(log n) per call.
class payload_store {
public:
    explicit payload_store(byte_count capacity);

    // Stores a copy, or fails with ResourceExhausted. Idempotent.
    result<payload_digest> put(const run_id& run, step_number step, std::string payload);
    // NotFound if the store has no such payload.
    result<std::string_view> get(const run_id& run, step_number step, const payload_digest& digest) const;
    // Removes the payloads of earlier steps; returns how many.
    std::size_t dropBelow(const run_id& run, step_number step);
    std::size_t dropRun(const run_id& run);

    byte_count used() const { return m_used; }
    std::size_t size() const { return m_payloads.size(); }

private:
    struct payload_key {
        run_id run;
        step_number step;
        payload_digest digest;
        friend auto operator<=>(const payload_key&, const payload_key&) = default;
    };
    using payload_map = std::map<payload_key, std::string>;

    std::size_t erase(payload_map::iterator first, payload_map::iterator last);

    byte_count m_capacity;
    byte_count m_used; // sizes and overheads of all payloads; at most m_capacity
    payload_map m_payloads;
};

} // namespace lovagerail
