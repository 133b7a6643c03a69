// Grants, withdrawals and deny marks.
#include "daemon/key_duty.h"

#include "log.h"

#include <openssl/rand.h>

namespace lovagerail::daemon {

namespace {

    // An instance that only heard of a mark leaves the writing to the one that was asked.
    constexpr duration firstWrite = std::chrono::seconds(5);
    constexpr duration writeRetry = std::chrono::seconds(3);

} // namespace

key_duty::key_duty(control_context& context, config_duty& config)
    : m_context(context)
    , m_config(config)
{
}

void key_duty::grant(const client_account_id& account, const std::vector<operator_scope>& scopes, const labels& set, const std::string& who,
    std::function<void(const granted&)> onDone)
{
    std::array<unsigned char, keyRandomBytes> random {};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
        onDone({ {}, {}, error { error_code::Internal, "keys.grant", peer_kind::None, {}, "no randomness" } });
        return;
    }
    auto made = makeKey(random);
    if (!made) {
        onDone({ {}, {}, made.error() });
        return;
    }
    api_key object = made->object;
    object.account = account;
    object.scopes = scopes;
    object.meta.labels = set;
    const key_id id(object.meta.name);

    config_edit edit;
    edit.puts = { object };
    edit.bases[{ object_kind::ApiKey, object.meta.name }] = revision();
    edit.who = who;
    edit.when = m_context.wall;
    edit.summary = "grant key " + object.meta.name;
    m_config.edit(std::move(edit), [raw = made->raw, id, onDone = std::move(onDone)](const edit_answer& outcome) {
        const bool accepted = std::holds_alternative<edit_result>(outcome);
        onDone({ accepted ? raw : std::string(), id, outcome });
    });
}

void key_duty::withdraw(const key_id& id, const std::string& who, const std::function<void(const edit_answer&)>& onDone)
{
    // Step 1. In force here and told to others before anything can fail.
    const auto mark = m_keys.deny(id);
    if (!mark) {
        onDone(edit_answer { mark.error() });
        return;
    }
    if (mark->has_value()) {
        const std::vector<deny_mark> marks { **mark };
        m_context.tellServing(new_denials { marks });
        if (m_spread)
            m_spread(marks);
        m_writeAgain[id] = m_context.now + writeRetry;
        m_asked.insert(id);
    }
    logEvent(log_level::Info, "keys", "withdraw", { { "key", id.str() }, { "by", who } });

    // Step 2. The configuration.
    writeWithdrawal(id, who, onDone);
}

void key_duty::writeWithdrawal(const key_id& id, const std::string& who, const config_duty::edit_function& onDone)
{
    const auto* key = m_context.inForce->findKey(id);
    if (key == nullptr) {
        if (onDone)
            onDone(edit_answer { error { error_code::NotFound, "keys.withdraw", peer_kind::None, {}, "no key " + id.str() } });
        return;
    }
    api_key withdrawn = *key;
    withdrawn.withdrawn = true;
    config_edit edit;
    edit.puts = { withdrawn };
    // A change of the key in between is a conflict; tick() tries again on it.
    edit.bases[{ object_kind::ApiKey, id.str() }] = key->meta.changed.at;
    edit.who = who;
    edit.when = m_context.wall;
    edit.summary = "withdraw key " + id.str();
    m_config.edit(std::move(edit), [onDone](const edit_answer& outcome) {
        if (onDone)
            onDone(outcome);
    });
}

bool key_duty::learn(const std::vector<deny_mark>& marks)
{
    const auto fresh = m_keys.merge(marks);
    if (fresh.empty())
        return false;
    m_context.tellServing(new_denials { marks });
    for (const auto& id : fresh)
        m_writeAgain.emplace(id, m_context.now + firstWrite);
    return true;
}

// Writes the withdrawals that the configuration still lacks.
void key_duty::tick()
{
    std::set<key_id> open;
    for (const auto& mark : m_keys.marks())
        open.insert(mark.key);
    for (auto entry = m_writeAgain.begin(); entry != m_writeAgain.end();) {
        if (!open.contains(entry->first)) {
            m_asked.erase(entry->first);
            entry = m_writeAgain.erase(entry);
            continue;
        }
        // Of those that only heard of it, the few that watch the service write.
        const bool mayWrite = m_config.isWatcher() || m_asked.contains(entry->first);
        if (mayWrite && m_context.now >= entry->second) {
            entry->second = m_context.now + writeRetry;
            writeWithdrawal(entry->first, m_context.self.str(), {});
        }
        ++entry;
    }
}

} // namespace lovagerail::daemon
