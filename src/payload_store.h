// Copies of payloads (prompts and judged samples) that an instance holds for runs,
// and the choice of the instances that hold a payload.
//
// The ledger says which payload is the right one by its digest; a store only has to
// give back bytes with that digest or say that it hasn't got them. Copies go to
// `copies` instances in different failure domains, instances with a data folder
// first. With two copies, the loss of any one instance loses nothing. The loss of
// two at once loses the payloads that had just these two holders: 2/(n(n-1)) of
// them on average over n instances that are alike. Lost payloads that weren't
// acknowledged are generated again.
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

// An instance that could hold payloads.
struct holder_candidate {
    payload_holder holder;
    failure_domain_id failureDomain;
    bool hasDataFolder = false;
    bool leaving = false;
};

// Rendezvous hashing on the key, in three preferences: not leaving, a new failure domain, a
// data folder. Fewer than `copies` are returned only if there are fewer candidates.
// O(n log n) per call; batches of samples share a key, so it is called once a batch.
std::vector<payload_holder> chooseHolders(std::string_view key, const std::vector<holder_candidate>& candidates, std::size_t copies);

// Bounded by bytes. What doesn't fit is refused, since a copy that was confirmed
// must not be evicted before its step is acknowledged. O(log n) per call.
class payload_store {
public:
    explicit payload_store(byte_count capacity);

    // Confirms a copy, or ResourceExhausted. Repeating it is harmless.
    result<payload_digest> put(const run_id& run, step_number step, std::string payload);
    // NotFound if it isn't here.
    result<std::string_view> get(const run_id& run, step_number step, const payload_digest& digest) const;
    // Removes the payloads of earlier steps; returns how many.
    std::size_t dropBelow(const run_id& run, step_number step);
    std::size_t dropRun(const run_id& run);

    byte_count used() const { return m_used; }
    std::size_t size() const { return m_payloads.size(); }

private:
    struct place {
        run_id run;
        step_number step;
        payload_digest digest;
        friend auto operator<=>(const place&, const place&) = default;
    };
    using payload_map = std::map<place, std::string>;

    std::size_t erase(payload_map::iterator first, payload_map::iterator last);

    byte_count m_capacity;
    byte_count m_used; // at most m_capacity; the sum of the sizes and overheads
    payload_map m_payloads;
};

} // namespace lovagerail
