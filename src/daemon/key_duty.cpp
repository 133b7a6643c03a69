// Granting and withdrawing keys, and deny marks.
#include "daemon/key_duty.h"

#include "log.h"

#include <openssl/rand.h>

namespace lovagerail::daemon {

namespace {

    // Delay before an instance writes a withdrawal that it only learned of from others. The
    // instance that the operator called writes it first.
    constexpr duration peerWriteDelay = std::chrono::seconds(5);
    constexpr duration writeRetryInterval = std::chrono::seconds(3);

} // namespace

key_duty::key_duty(control_context& context, config_duty& config)
    : m_context(context)
    , m_config(config)
{
}

void key_duty::grant(const client_account_id& account, const std::vector<operator_scope>& scopes, const labels& keyLabels, const std::string& author,
    std::function<void(const grant_result&)> onDone)
{
    std::array<unsigned char, keyRandomBytes> random {};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
        onDone({ {}, {}, error { error_code::Internal, "keys.grant", peer_kind::None, {}, "no randomness" } });
        return;
    }
    auto newKey = makeKey(random);
    if (!newKey) {
        onDone({ {}, {}, newKey.error() });
        return;
    }
    api_key object = newKey->object;
    object.account = account;
    object.scopes = scopes;
    object.meta.labels = keyLabels;
    const key_id id(object.meta.name);

    config_edit edit;
    edit.puts = { object };
    edit.baseRevisions[{ object_kind::ApiKey, object.meta.name }] = revision();
    edit.author = author;
    edit.when = m_context.wall;
    edit.summary = "grant key " + object.meta.name;
    m_config.edit(std::move(edit), [raw = newKey->raw, id, onDone = std::move(onDone)](const edit_answer& outcome) {
        const bool accepted = std::holds_alternative<edit_result>(outcome);
        onDone({ accepted ? raw : std::string(), id, outcome });
    });
}

void key_duty::withdraw(const key_id& id, const std::string& author, const std::function<void(const edit_answer&)>& onDone)
{
    // Step 1. Deny the key here and tell other instances, before any step that can fail.
    const auto mark = m_keys.deny(id);
    if (!mark) {
        onDone(edit_answer { mark.error() });
        return;
    }
    if (mark->has_value()) {
        const std::vector<deny_mark> marks { **mark };
        m_context.sendToServing(denial_update { marks });
        if (m_sendToPeers)
            m_sendToPeers(marks);
        m_writeAt[id] = m_context.now + writeRetryInterval;
        m_requestedHere.insert(id);
    }
    logEvent(log_level::Info, "keys", "withdraw", { { "key", id.str() }, { "by", author } });

    // Step 2. Write the withdrawal to the configuration.
    writeWithdrawal(id, author, onDone);
}

void key_duty::writeWithdrawal(const key_id& id, const std::string& author, const config_duty::edit_function& onDone)
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
    // If the key is changed in the meantime, the edit conflicts, and tick() tries again.
    edit.baseRevisions[{ object_kind::ApiKey, id.str() }] = key->meta.changed.at;
    edit.author = author;
    edit.when = m_context.wall;
    edit.summary = "withdraw key " + id.str();
    m_config.edit(std::move(edit), [onDone](const edit_answer& outcome) {
        if (onDone)
            onDone(outcome);
    });
}

bool key_duty::mergeMarks(const std::vector<deny_mark>& marks)
{
    const auto newMarks = m_keys.merge(marks);
    if (newMarks.empty())
        return false;
    m_context.sendToServing(denial_update { marks });
    for (const auto& id : newMarks)
        m_writeAt.emplace(id, m_context.now + peerWriteDelay);
    return true;
}

// Writes withdrawals that are not in the configuration yet.
void key_duty::tick()
{
    std::set<key_id> openMarks;
    for (const auto& mark : m_keys.marks())
        openMarks.insert(mark.key);
    for (auto entry = m_writeAt.begin(); entry != m_writeAt.end();) {
        if (!openMarks.contains(entry->first)) {
            m_requestedHere.erase(entry->first);
            entry = m_writeAt.erase(entry);
            continue;
        }
        // Of the instances that only learned of the mark, just the few watchers write it.
        const bool mayWrite = m_config.isWatcher() || m_requestedHere.contains(entry->first);
        if (mayWrite && m_context.now >= entry->second) {
            entry->second = m_context.now + writeRetryInterval;
            writeWithdrawal(entry->first, m_context.self.str(), {});
        }
        ++entry;
    }
}

} // namespace lovagerail::daemon
