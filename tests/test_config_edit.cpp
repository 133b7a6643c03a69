// Tests of configuration edits: concurrent operators on a simulated key-value service with
// lost answers, instances that follow its events, conflicts, limits, history and rollback.
#include "config_edit.h"
#include "config_samples.h"
#include "object_codec.h"
#include "property.h"

#include <algorithm>

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

// Simulates the part of the key-value service that the configuration uses.
class fake_service {
public:
    // Executes a transaction. Returns its revision, or nothing if a comparison fails.
    std::optional<revision> run(const config_transaction& wanted)
    {
        BOOST_REQUIRE(wanted.puts.size() + wanted.deletes.size() <= maxTransactionOperations);
        BOOST_REQUIRE(wanted.compares.size() <= maxTransactionOperations);
        for (const auto& compare : wanted.compares) {
            const auto found = m_values.find(compare.key);
            if ((found == m_values.end() ? revision() : found->second.modRevision) != compare.modRevision)
                return std::nullopt;
        }
        m_revision = m_revision.next();
        auto& events = m_events.emplace_back();
        for (const auto& put : wanted.puts) {
            m_values[put.key] = { put.key, put.value, m_revision };
            events.push_back({ put.key, put.value, m_revision });
        }
        for (const auto& key : wanted.deletes) {
            if (m_values.erase(key) > 0)
                events.push_back({ key, std::nullopt, m_revision });
        }
        return m_revision;
    }

    // A write to a key outside the configuration also advances the revision.
    void writeOtherKey() { m_revision = m_revision.next(); }

    std::vector<stored_value> read() const
    {
        std::vector<stored_value> all;
        for (const auto& [key, value] : m_values)
            all.push_back(value);
        return all;
    }

    config_ptr readConfig() const
    {
        const auto change = changeFromRange(read());
        return change ? successor({}, *change) : std::make_shared<config>();
    }

    config_head readHead() const
    {
        const auto found = m_values.find(std::string(headKey));
        return found == m_values.end() ? config_head() : *decodeHead(found->second.value);
    }

    // The history entries, newest first.
    std::vector<history_entry> readHistory() const
    {
        std::vector<history_entry> entries;
        for (const auto& [key, value] : m_values) {
            if (key.starts_with(historyPrefix))
                entries.push_back(*decodeHistory(value));
        }
        std::reverse(entries.begin(), entries.end());
        return entries;
    }

    const std::vector<std::vector<stored_event>>& events() const { return m_events; }

private:
    std::map<std::string, stored_value> m_values;
    std::vector<std::vector<stored_event>> m_events; // by change
    revision m_revision;
};

config_edit editOf(std::string author, std::vector<config_object> puts, std::vector<object_ref> deletes = {})
{
    config_edit made;
    made.puts = std::move(puts);
    made.deletes = std::move(deletes);
    made.author = std::move(author);
    made.summary = "test";
    return made;
}

template <typename Wanted>
Wanted outcomeOf(edit_outcome outcome)
{
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<Wanted>(outcome), "another outcome: " << outcome.index());
    return std::get<Wanted>(std::move(outcome));
}

void accept(fake_service& service, const config_edit& edit)
{
    const auto plan = outcomeOf<edit_plan>(planEdit(*service.readConfig(), service.readHead(), edit, service.readHistory()));
    BOOST_REQUIRE(service.run(plan.transaction).has_value());
}

client_account accountAt(const config& snapshot, const std::string& name)
{
    const auto* found = snapshot.findAccount(client_account_id(name));
    return found ? *found : sampleAccount(name);
}

// An operator who repeatedly adds one to the weights of two accounts. If an edit overwrote
// another operator's, the sums would be too small.
struct simulated_operator {
    std::string firstName;
    std::string secondName;
    config_ptr snapshot;
    config_head head;
    std::optional<config_edit> pending;
    std::uint64_t done = 0;

    void refresh(const fake_service& service)
    {
        snapshot = service.readConfig();
        head = service.readHead();
    }

    void prepareEdit(const std::string& author)
    {
        auto first = accountAt(*snapshot, firstName);
        auto second = accountAt(*snapshot, secondName);
        ++first.weight;
        ++second.weight;
        // The label tells this edit from all others, so that the outcome of a transaction
        // whose answer was lost can be found by reading.
        first.meta.labels["edit"] = author + std::to_string(done);
        pending = editOf(author, { first, second });
        setBaseRevisions(*pending, *snapshot);
    }

    // Plans and tries one edit. If `answerLost`, the transaction is executed but the
    // operator doesn't learn its result.
    void tryEdit(fake_service& service, const std::string& author, bool answerLost)
    {
        if (!pending)
            prepareEdit(author);
        const auto outcome = planEdit(*snapshot, head, *pending, service.readHistory());
        if (const auto* plan = std::get_if<edit_plan>(&outcome)) {
            const auto accepted = service.run(plan->transaction);
            if (accepted && !answerLost) {
                ++done;
                pending.reset();
            }
            refresh(service);
        } else if (std::holds_alternative<no_change>(outcome)) {
            ++done; // the earlier transaction had taken effect
            pending.reset();
        } else {
            // A conflict: another operator was first, or this edit took effect and was then
            // changed by others.
            BOOST_REQUIRE(std::holds_alternative<std::vector<edit_conflict>>(outcome));
            const auto label = author + std::to_string(done);
            for (const auto& entry : service.readHistory()) {
                const auto* account = entry.puts.empty() ? nullptr : std::get_if<client_account>(&entry.puts.front());
                if (account && account->meta.labels.contains("edit") && account->meta.labels.at("edit") == label) {
                    ++done;
                    break;
                }
            }
            pending.reset();
            refresh(service);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_edit_suite)

BOOST_AUTO_TEST_CASE(concurrent_edits_are_not_lost_and_instances_never_go_back)
{
    checkProperty("operators racing", [] {
        fake_service service;
        accept(service, editOf("setup", { sampleAccount("mawr", 1), sampleAccount("bach", 1) }));
        accept(service, editOf("setup", { sampleAccount("un", 1), sampleAccount("dau", 1) }));
        // Three operators edit the same two accounts, one edits two others.
        std::vector<simulated_operator> operators(4, { "mawr", "bach", {}, {}, {}, 0 });
        operators[3] = { "un", "dau", {}, {}, {}, 0 };
        for (auto& one : operators)
            one.refresh(service);
        config_ptr follower;
        const int steps = pick(0, 40);
        for (int i = 0; i < steps; ++i) {
            const auto author = pick<std::size_t>(0, operators.size());
            switch (pick(0, 5)) {
            case 0:
                operators[author].refresh(service);
                break;
            case 1:
                service.writeOtherKey();
                break;
            case 2: {
                // An event may arrive late, early or twice; after a gap everything is read.
                const auto& events = *rc::gen::elementOf(service.events());
                const auto before = follower ? follower->at() : revision();
                auto applied = lovagerail::apply(follower, *changeFromEvents(events));
                if (applied.outcome == apply_outcome::Gap)
                    applied = lovagerail::apply(follower, *changeFromRange(service.read()));
                follower = applied.next;
                RC_ASSERT((follower ? follower->at() : revision()) >= before);
                break;
            }
            default:
                operators[author].tryEdit(service, "op" + std::to_string(author), pick(0, 3) == 0);
            }
            // Transactions are atomic: both accounts always have the same weight.
            const auto now = service.readConfig();
            RC_ASSERT(accountAt(*now, "mawr").weight == accountAt(*now, "bach").weight);
            RC_ASSERT(accountAt(*now, "un").weight == accountAt(*now, "dau").weight);
            RC_ASSERT(service.readHead().count == service.events().size());
        }
        // No accepted change is lost, and none is applied twice.
        for (std::size_t author = 0; author < operators.size(); ++author) {
            while (operators[author].pending)
                operators[author].tryEdit(service, "op" + std::to_string(author), false);
        }
        const auto last = service.readConfig();
        RC_ASSERT(accountAt(*last, "mawr").weight == 1 + operators[0].done + operators[1].done + operators[2].done);
        RC_ASSERT(accountAt(*last, "un").weight == 1 + operators[3].done);

        // Every change has its own history entry, and undoing them all gives the empty configuration.
        RC_ASSERT(service.readHistory().size() == service.events().size());
        RC_ASSERT(rewind(*last, service.readHistory())->empty());

        // Applying all watch events gives the same configuration as one full read.
        config_ptr followed;
        for (const auto& events : service.events())
            followed = lovagerail::apply(followed, *changeFromEvents(events)).next;
        RC_ASSERT(toText(toJson(followed->full())) == toText(toJson(last->full())));
    });
}

BOOST_AUTO_TEST_CASE(conflict_names_object_who_and_what)
{
    fake_service service;
    accept(service, editOf("anna", { sampleAccount("mawr", 1) }));
    auto localEdit = editOf("bryn", { sampleAccount("mawr", 5) });
    setBaseRevisions(localEdit, *service.readConfig());
    accept(service, editOf("carys", { sampleAccount("mawr", 3) }));
    const auto conflicts = outcomeOf<std::vector<edit_conflict>>(planEdit(*service.readConfig(), service.readHead(), localEdit, service.readHistory()));
    BOOST_REQUIRE(conflicts.size() == 1u);
    BOOST_TEST(toString(conflicts[0]) == "client_account/mawr: changed at revision 2 by carys\n  weight: 1 -> 3 (carys, revision 2)");

    accept(service, editOf("dewi", {}, { { object_kind::ClientAccount, "mawr" } }));
    const auto conflictsAfterDelete = outcomeOf<std::vector<edit_conflict>>(planEdit(*service.readConfig(), service.readHead(), localEdit, service.readHistory()));
    BOOST_TEST(conflictsAfterDelete[0].author == "dewi");
    BOOST_TEST(conflictsAfterDelete[0].changedAt == revision(3));
}

BOOST_AUTO_TEST_CASE(creating_an_existing_object_is_a_conflict_unless_equal)
{
    fake_service service;
    auto localEdit = editOf("bryn", { sampleAccount("mawr", 5) });
    setBaseRevisions(localEdit, *service.readConfig());
    accept(service, editOf("carys", { sampleAccount("mawr", 3) }));
    outcomeOf<std::vector<edit_conflict>>(planEdit(*service.readConfig(), service.readHead(), localEdit));
    localEdit.puts = { sampleAccount("mawr", 3) };
    outcomeOf<no_change>(planEdit(*service.readConfig(), service.readHead(), localEdit));
}

BOOST_AUTO_TEST_CASE(an_edit_with_an_invalid_result_is_rejected_with_all_faults)
{
    fake_service service;
    accept(service, editOf("anna", sampleObjects()));
    const auto edit = editOf("anna", { sampleAccount("mawr", 0) }, { { object_kind::TargetPool, "model-pool" } });
    const auto faults = outcomeOf<std::vector<config_fault>>(planEdit(*service.readConfig(), service.readHead(), edit));
    BOOST_TEST(std::count_if(faults.begin(), faults.end(), [](const config_fault& f) { return f.severity == fault_severity::Error; }) == 3);
    outcomeOf<error>(planEdit(*service.readConfig(), service.readHead(), editOf("", { sampleAccount("x") })));
    outcomeOf<error>(planEdit(*service.readConfig(), service.readHead(), editOf("anna", { sampleAccount("x"), sampleAccount("x") })));
}

BOOST_AUTO_TEST_CASE(objects_per_change_are_limited)
{
    std::vector<config_object> many;
    for (std::size_t i = 0; i < maxObjectsPerChange; ++i)
        many.emplace_back(sampleAccount("a" + std::to_string(i)));
    config_head longAgo;
    longAgo.count = historyKept + 3;
    const auto plan = outcomeOf<edit_plan>(planEdit({}, longAgo, editOf("anna", many)));
    BOOST_TEST(plan.transaction.puts.size() + plan.transaction.deletes.size() == maxTransactionOperations);
    BOOST_TEST(plan.transaction.deletes.front() == historyKey(4));
    many.emplace_back(sampleAccount("more"));
    const auto refused = outcomeOf<error>(planEdit({}, longAgo, editOf("anna", many)));
    BOOST_TEST((refused.code == error_code::ResourceExhausted));
}

BOOST_AUTO_TEST_CASE(rollback_restores_older_objects_but_no_keys)
{
    fake_service service;
    accept(service, editOf("anna", sampleObjects()));
    const auto older = service.readConfig();
    auto key = sampleKey(1).object;
    key.withdrawn = true;
    accept(service, editOf("bryn", { key, sampleAccount("mawr", 9) }));
    accept(service, editOf("bryn", { sampleRoute("more", "/more") }, { { object_kind::Run, "advice" } }));

    const auto history = service.readHistory();
    const auto now = service.readConfig();
    const auto before = rewind(*now, std::span(history).first(2));
    BOOST_REQUIRE(before);
    BOOST_TEST(!rewind(*now, std::span(history).subspan(1)));
    accept(service, planRollback(*now, *before, "anna", {}, "rollback"));
    const auto after = service.readConfig();
    const auto lines = diff(*older, *after);
    BOOST_REQUIRE(lines.size() == 1u);
    BOOST_TEST(toString(lines[0]) == "~ api_key/0101010101010101: withdrawn: false -> true");
    BOOST_TEST(after->at() > now->at());
    BOOST_TEST(service.readHead().count == 4u);
}

BOOST_AUTO_TEST_CASE(diff_names_added_removed_and_changed)
{
    const auto before = configOf(1, { sampleAccount("a"), sampleAccount("b", 2) });
    const auto after = configOf(2, { sampleAccount("b", 3), sampleRoute("c", "/c") });
    std::vector<std::string> lines;
    for (const auto& line : diff(*before, *after))
        lines.push_back(toString(line));
    const std::vector<std::string> expected { "- client_account/a", "~ client_account/b: weight: 2 -> 3", "+ route/c" };
    BOOST_CHECK_EQUAL_COLLECTIONS(lines.begin(), lines.end(), expected.begin(), expected.end());
}

BOOST_AUTO_TEST_CASE(values_of_several_revisions_are_rejected)
{
    fake_service service;
    BOOST_TEST((changeFromRange(service.read()).error().code == error_code::NotFound));
    accept(service, editOf("anna", { sampleAccount("mawr") }));
    auto values = service.read();
    for (auto& value : values) {
        if (value.key.starts_with(objectPrefix))
            value.modRevision = revision(2);
    }
    BOOST_TEST((changeFromRange(values).error().code == error_code::Corrupt));
    auto events = service.events().front();
    std::erase_if(events, [](const stored_event& event) { return event.key == headKey; });
    BOOST_TEST(!changeFromEvents(events));
}

BOOST_AUTO_TEST_SUITE_END()
