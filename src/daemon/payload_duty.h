// Distributed in-memory store for the payloads of rollouts (prompts and judged samples): the
// part stored on this instance, and puts and gets on the other instances.
#pragma once

#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/peer_duty.h"
#include "payload_store.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lovagerail::daemon {

class payload_duty {
public:
    using put_function = std::function<void(const std::vector<payload_holder>& holders)>; // the instances that confirmed all payloads
    using get_function = std::function<void(const result<std::string>&)>;

    payload_duty(control_context& context, lease_duty& leases, peer_duty& peers);

    // Stores the payloads of one step on the instances chosen as its holders.
    void put(const run_id& run, step_number step, const std::vector<std::string>& payloads, put_function onDone);
    // Tries the holders in turn. NotFound if none has the payload, Unavailable if an unreachable
    // one may still have it.
    void get(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, get_function onDone);
    // Drops payloads of earlier steps on all instances.
    void dropBelow(const run_id& run, step_number below);

    // The live instances, each with its known incarnation.
    std::vector<payload_holder> liveHolders() const;
    std::size_t size() const { return m_store.size(); }
    byte_count used() const { return m_store.used(); }

private:
    void addMethods();
    void getNext(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, bool unreachable, get_function onDone);
    std::vector<holder_candidate> holderCandidates() const;

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    payload_store m_store;
};

} // namespace lovagerail::daemon
