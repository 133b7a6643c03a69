// Tests of configuration snapshots: changes that arrive in any order, lookups, and
// validation of a complete configuration.
#include "config_check.h"
#include "config_samples.h"
#include "object_codec.h"
#include "property.h"

#include <algorithm>

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

// A random sequence of accepted changes, and the configuration after each of them.
struct history {
    std::vector<config_change> changes;
    std::vector<config_ptr> states;
};

config_object anySmallObject()
{
    const auto name = *rc::gen::element(std::string("a"), std::string("b"), std::string("c"));
    if (*rc::gen::arbitrary<bool>())
        return sampleRoute(name, "/" + name + std::to_string(pick(0, 3)));
    return sampleAccount(name, pick<std::uint64_t>(1, 5));
}

history anyHistory()
{
    history made;
    config_ptr state = std::make_shared<config>();
    const int length = pick(1, 12);
    std::uint64_t at = 0;
    for (int i = 0; i < length; ++i) {
        config_change change;
        change.from = revision(at);
        at += pick<std::uint64_t>(1, 4);
        change.to = revision(at);
        change.puts = { anySmallObject() };
        const auto deleted = refOf(anySmallObject());
        if (state->find(deleted) && deleted != refOf(change.puts.front()))
            change.deletes = { deleted };
        const std::string foreignName = "p" + std::to_string(at % 2);
        change.foreignPuts = { { "judge_panel/" + foreignName, R"({"kind":"judge_panel","object":{"name":")" + foreignName + R"("}})", change.to } };
        if (at % 3 == 0)
            change.foreignDeletes = { "judge_panel/p" + std::to_string((at + 1) % 2) };
        state = successor(*state, change);
        made.changes.push_back(change);
        made.states.push_back(state);
    }
    return made;
}

std::string textOf(const config& snapshot)
{
    return toText(toJson(snapshot.full()));
}

// A random delta, several combined, or a full change, after a JSON round trip.
config_change anyChange(const history& past)
{
    const auto first = pick<std::size_t>(0, past.changes.size());
    const auto last = std::min(first + pick<std::size_t>(0, 4), past.changes.size() - 1);
    auto change = past.changes[first];
    for (auto i = first + 1; i <= last; ++i)
        change = compose(change, past.changes[i]);
    if (pick(0, 10) == 0)
        change = pick(0, 2) == 0 ? past.states[last]->full() : compose(change, past.states.back()->full());
    const auto decoded = changeFromJson(*parseJson(toText(toJson(change)), "test"));
    RC_ASSERT(decoded.has_value());
    return *decoded;
}

std::vector<std::string> faultsOf(std::vector<config_object> objects)
{
    std::vector<std::string> lines;
    for (const auto& fault : checkConfig(*configOf(1, std::move(objects))))
        lines.push_back(toString(fault));
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_suite)

BOOST_AUTO_TEST_CASE(changes_in_any_order_never_lower_the_revision_or_give_a_wrong_state)
{
    checkProperty("arrival in any order", [] {
        const auto past = anyHistory();
        config_ptr current = pick(0, 2) == 0 ? nullptr : past.states.front();
        const int changeCount = pick(0, 25);
        for (int i = 0; i < changeCount; ++i) {
            const auto change = anyChange(past);
            const auto before = current ? current->at() : revision();
            const auto applied = lovagerail::apply(current, change);
            // Step 1. The revision only grows, and a gap is reported only if there is one.
            RC_ASSERT((applied.outcome == apply_outcome::Applied) == (applied.next && applied.next->at() > before));
            RC_ASSERT((applied.outcome == apply_outcome::Stale) == (change.to <= before));
            if (applied.outcome == apply_outcome::Applied)
                RC_ASSERT(applied.next->at() == change.to);
            else
                RC_ASSERT(applied.next == current);
            current = applied.next;
            if (!current)
                continue;
            // Step 2. The state is exactly the one accepted at that revision.
            for (const auto& state : past.states) {
                if (state->at() == current->at())
                    RC_ASSERT(textOf(*state) == textOf(*current));
            }
        }
        // Step 3. A full change closes any gap.
        const auto last = lovagerail::apply(current, past.states.back()->full());
        RC_ASSERT(last.next->at() == past.states.back()->at());
        RC_ASSERT(textOf(*last.next) == textOf(*past.states.back()));
    });
}

BOOST_AUTO_TEST_CASE(snapshots_are_immutable)
{
    const auto first = configOf(1, sampleObjects());
    const auto text = textOf(*first);
    const auto second = successor(*first, { revision(1), revision(2), { sampleAccount("mawr", 7) }, { { object_kind::Route, "quotes" } }, {}, {} });
    BOOST_TEST(textOf(*first) == text);
    BOOST_TEST(first->findAccount(client_account_id("mawr"))->weight == 1u);
    BOOST_TEST(second->findAccount(client_account_id("mawr"))->weight == 7u);
    BOOST_TEST(second->findAccount(client_account_id("mawr"))->meta.changed.at == revision(2));
    BOOST_TEST((first->findRoute("GET", "/v1") != nullptr && second->findRoute("GET", "/v1") == nullptr));
    BOOST_TEST(second->size() == first->size() - 1);
}

BOOST_AUTO_TEST_CASE(route_is_chosen_by_longest_prefix_and_method)
{
    auto read = sampleRoute("read", "/stock/");
    read.methods = { "GET" };
    auto order = sampleRoute("order", "/stock");
    auto deep = sampleRoute("deep", "/stock/lines");
    deep.methods = { "GET" };
    const auto held = configOf(1, { read, order, deep, sampleRoute("all", "/") });
    const auto nameOf = [&](std::string_view method, std::string_view path) {
        const auto* routeObject = held->findRoute(method, path);
        return routeObject ? routeObject->meta.name : std::string();
    };
    BOOST_TEST(nameOf("GET", "/stock/a") == "read");
    BOOST_TEST(nameOf("POST", "/stock") == "order");
    BOOST_TEST(nameOf("GET", "/stock/lines/3") == "deep");
    BOOST_TEST(nameOf("POST", "/stock/lines/3") == "order");
    BOOST_TEST(nameOf("GET", "/stocks") == "all");
    BOOST_TEST(nameOf("GET", "/") == "all");
    for (const char* path : { "", "stock", "/stock/../x", "/stock/%2e%2E/x", "/./stock", "/stock/.%2e" })
        BOOST_TEST(nameOf("GET", path).empty(), path);
    BOOST_TEST(nameOf("GET", "/stock/...") == "read");
}

BOOST_AUTO_TEST_CASE(sample_is_valid)
{
    BOOST_TEST(faultsOf(sampleObjects()).empty());
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together)
{
    auto account = sampleAccount("mawr", 0);
    auto pool = samplePool("model-pool");
    pool.floor = 5;
    pool.accepts = selector::parseLenient("tier=lead");
    auto routeObject = sampleRoute("quotes", "/v1");
    routeObject.deadlineMs = 0;
    routeObject.targets = selector::parseLenient("size=large");
    auto same = sampleRoute("same", "/v1/");
    same.accounts = selector::parseLenient("tier>1");
    same.targets = selector::parseLenient("accelerator=big");
    auto runObject = sampleRun("advice");
    runObject.account = client_account_id("bach");
    runObject.judge = route_id("none");
    runObject.groupSize = 0;
    const auto lines = faultsOf({ account, pool, routeObject, same, runObject });
    const std::vector<std::string> expected {
        "error: client_account/mawr: weight: must be at least 1",
        "error: target_pool/model-pool: floor: must not be above the ceiling",
        "error: target_pool/model-pool: accepts: matches no work of any route or run",
        "error: route/quotes: deadline_ms: must be at least 1",
        "error: route/quotes: targets: matches no target pool that could serve it",
        "error: route/same: path_prefix: is the same as that of route/quotes",
        "error: route/same: accounts: column 5: expected '=', '==', '!=', 'in', 'notin', ',' or the end",
        "error: route/same: targets: no target pool that it matches accepts its work",
        "error: run/advice: account: no client account \"bach\"",
        "error: run/advice: group_size: must be at least 1",
        "error: run/advice: judge: no route \"none\"",
        "error: run/advice: targets: no target pool that it matches accepts its work",
        "warning: route/same: targets: matches only if targets have labels of their own to suit",
    };
    BOOST_CHECK_EQUAL_COLLECTIONS(lines.begin(), lines.end(), expected.begin(), expected.end());
}

BOOST_AUTO_TEST_CASE(a_key_belongs_to_an_existing_account_or_an_operator)
{
    auto unknownAccountKey = sampleKey(1).object;
    auto both = sampleKey(2).object;
    both.scopes = { operator_scope::Read };
    auto withdrawn = sampleKey(3).object;
    withdrawn.withdrawn = true;
    const auto lines = faultsOf({ unknownAccountKey, both, withdrawn });
    BOOST_REQUIRE(lines.size() == 3u);
    BOOST_TEST(lines[0] == "error: api_key/0101010101010101: account: no client account \"mawr\"");
    BOOST_TEST(lines[1] == "error: api_key/0202020202020202: account: must be an account, or scopes of an operator, and not both");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_stays_withdrawn)
{
    auto key = sampleKey(1).object;
    key.withdrawn = true;
    const auto before = configOf(1, { key, sampleKey(2).object });
    key.withdrawn = false;
    const object_ref live { object_kind::ApiKey, sampleKey(2).object.meta.name };
    const object_ref dead { object_kind::ApiKey, key.meta.name };
    BOOST_TEST(hasErrors(checkChange(*before, { revision(1), revision(2), { key }, {}, {}, {} })));
    BOOST_TEST(hasErrors(checkChange(*before, { revision(1), revision(2), {}, { live }, {}, {} })));
    BOOST_TEST(!hasErrors(checkChange(*before, { revision(1), revision(2), {}, { dead }, {}, {} })));
}

BOOST_AUTO_TEST_SUITE_END()
