// Payloads of rollouts (prompts and judged samples) in the memory of instances:
// this instance's share, and puts and gets on the others.
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
    using put_function = std::function<void(const std::vector<payload_holder>& holders)>; // who confirmed all of them
    using get_function = std::function<void(const result<std::string>&)>;

    payload_duty(control_context& context, lease_duty& leases, peer_duty& peers);

    // Stores payloads of one step at the instances that are to hold it.
    void put(const run_id& run, step_number step, const std::vector<std::string>& payloads, put_function onDone);
    // Tries the holders in turn. NotFound if none has it any more, Unavailable if
    // one that may have it can't be reached.
    void get(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, get_function onDone);
    // Everywhere.
    void dropBelow(const run_id& run, step_number below);

    // Live instances under the incarnation that is known of each.
    std::vector<payload_holder> liveHolders() const;
    std::size_t size() const { return m_store.size(); }
    byte_count used() const { return m_store.used(); }

private:
    void addMethods();
    void getNext(const run_id& run, step_number step, const payload_digest& digest, std::vector<payload_holder> holders, bool unreachable, get_function onDone);
    std::vector<holder_candidate> candidates() const;

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    payload_store m_store;
};

} // namespace lovagerail::daemon
