// Grants and withdraws API keys. A withdrawal takes effect here immediately, is sent to all
// instances as a deny mark, and is written to the configuration as soon as the key-value
// service accepts it, by any instance that still has the mark.
#pragma once

#include "daemon/config_duty.h"
#include "daemon/control_context.h"
#include "keys.h"

#include <functional>
#include <map>
#include <set>

namespace lovagerail::daemon {

class key_duty {
public:
    key_duty(control_context& context, config_duty& config);

    void tick();
    void setConfig(const config_ptr& inForce) { m_keys.update(inForce); }

    // The result of a grant. This is the only time that the raw key is returned.
    struct grant_result {
        std::string raw;
        key_id id;
        edit_answer outcome;
    };
    void grant(const client_account_id& account, const std::vector<operator_scope>& scopes, const labels& keyLabels, const std::string& author,
        std::function<void(const grant_result&)> onDone);

    // The key is denied here when this returns; onDone reports whether the withdrawal was
    // written to the configuration.
    void withdraw(const key_id& id, const std::string& author, const std::function<void(const edit_answer&)>& onDone);

    // Merges deny marks of another instance; true if any was new.
    bool mergeMarks(const std::vector<deny_mark>& marks);
    std::vector<deny_mark> marks() const { return m_keys.marks(); }
    // Sets the function that sends new marks to the other instances.
    void onNewMarks(std::function<void(const std::vector<deny_mark>&)> send) { m_sendToPeers = std::move(send); }

private:
    void writeWithdrawal(const key_id& id, const std::string& author, const config_duty::edit_function& onDone);

    control_context& m_context;
    config_duty& m_config;
    key_table m_keys;
    std::function<void(const std::vector<deny_mark>&)> m_sendToPeers;
    std::map<key_id, instant> m_writeAt; // marks not in the configuration yet; when to write them
    std::set<key_id> m_requestedHere; // of these, the ones that an operator requested at this instance
};

} // namespace lovagerail::daemon
