// Placement of payload copies, and the bounded store of one instance; see payload_store.h.
#include "payload_store.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace lovagerail {

namespace {

    // Memory overhead of one payload in bytes, counted together with its size.
    constexpr std::size_t payloadOverhead = 160;
    // Index of the candidate's number in a rank.
    constexpr std::size_t candidateIndex = 4;

    std::uint64_t score(std::string_view key, const instance_id& instance)
    {
        const std::uint64_t seed = XXH64(instance.str().data(), instance.str().size(), 0);
        return XXH64(key.data(), key.size(), seed);
    }

    byte_count costOf(std::string_view payload)
    {
        return byte_count(payload.size() + payloadOverhead);
    }

} // namespace

std::vector<payload_holder> chooseHolders(std::string_view key, const std::vector<holder_candidate>& candidates, std::size_t copies)
{
    // Step 1. Sort by preference, then by rendezvous hash, then by name.
    using rank = std::tuple<bool, bool, std::uint64_t, instance_id, std::size_t>;
    std::vector<rank> ranks;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const holder_candidate& candidate = candidates[i];
        ranks.emplace_back(candidate.leaving, !candidate.hasDataFolder, score(key, candidate.holder.instance), candidate.holder.instance, i);
    }
    std::sort(ranks.begin(), ranks.end());

    // Step 2. Choose one holder per failure domain, without leaving instances.
    std::vector<payload_holder> chosen;
    std::set<failure_domain_id> domains;
    std::set<instance_id> chosenInstances;
    for (const rank& item : ranks) {
        const holder_candidate& candidate = candidates[std::get<candidateIndex>(item)];
        if (chosen.size() == copies || candidate.leaving)
            break;
        if (chosenInstances.contains(candidate.holder.instance) || !domains.insert(candidate.failureDomain).second)
            continue;
        chosenInstances.insert(candidate.holder.instance);
        chosen.push_back(candidate.holder);
    }

    // Step 3. If copies are missing, choose further holders in the same order.
    for (const rank& item : ranks) {
        if (chosen.size() == copies)
            break;
        const holder_candidate& candidate = candidates[std::get<candidateIndex>(item)];
        if (chosenInstances.insert(candidate.holder.instance).second)
            chosen.push_back(candidate.holder);
    }
    return chosen;
}

payload_store::payload_store(byte_count capacity)
    : m_capacity(capacity)
{
}

result<payload_digest> payload_store::put(const run_id& run, step_number step, std::string payload)
{
    const payload_digest digest = digestOf(payload);
    const payload_key key { run, step, digest };
    if (m_payloads.contains(key))
        return digest;
    const byte_count cost = costOf(payload);
    if (m_used + cost > m_capacity)
        return failure(error_code::ResourceExhausted, "payload_store.put", "the store is full");
    m_used += cost;
    m_payloads.emplace(key, std::move(payload));
    return digest;
}

result<std::string_view> payload_store::get(const run_id& run, step_number step, const payload_digest& digest) const
{
    const auto found = m_payloads.find({ run, step, digest });
    if (found == m_payloads.end())
        return failure(error_code::NotFound, "payload_store.get", toHex(digest));
    return std::string_view(found->second);
}

std::size_t payload_store::dropBelow(const run_id& run, step_number step)
{
    return erase(m_payloads.lower_bound({ run, step_number(), {} }), m_payloads.lower_bound({ run, step, {} }));
}

std::size_t payload_store::dropRun(const run_id& run)
{
    auto last = m_payloads.lower_bound({ run, step_number(), {} });
    const auto first = last;
    while (last != m_payloads.end() && last->first.run == run)
        ++last;
    return erase(first, last);
}

std::size_t payload_store::erase(payload_map::iterator first, payload_map::iterator last)
{
    std::size_t erased = 0;
    for (auto item = first; item != last; item = m_payloads.erase(item)) {
        m_used -= costOf(item->second);
        ++erased;
    }
    return erased;
}

} // namespace lovagerail
