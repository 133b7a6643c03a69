// Grants and withdraws keys. A withdrawal is in force here at once, is told to all
// instances as a deny mark, and is written to the configuration as soon as the
// service takes it, by whichever instance still holds the mark.
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

    // What a grant gives: the raw key is shown once.
    struct granted {
        std::string raw;
        key_id id;
        edit_answer outcome;
    };
    void grant(const client_account_id& account, const std::vector<operator_scope>& scopes, const labels& set, const std::string& who,
        std::function<void(const granted&)> onDone);

    // In force here when it returns; onDone tells whether the configuration has it.
    void withdraw(const key_id& id, const std::string& who, const std::function<void(const edit_answer&)>& onDone);

    // Marks of another instance; true if any was new.
    bool learn(const std::vector<deny_mark>& marks);
    std::vector<deny_mark> marks() const { return m_keys.marks(); }
    // Called with new marks, to spread them.
    void onNewMarks(std::function<void(const std::vector<deny_mark>&)> spread) { m_spread = std::move(spread); }

private:
    void writeWithdrawal(const key_id& id, const std::string& who, const config_duty::edit_function& onDone);

    control_context& m_context;
    config_duty& m_config;
    key_table m_keys;
    std::function<void(const std::vector<deny_mark>&)> m_spread;
    std::map<key_id, instant> m_writeAgain; // marks that the configuration lacks
    std::set<key_id> m_asked; // of these, the ones that an operator asked this instance for
};

} // namespace lovagerail::daemon
