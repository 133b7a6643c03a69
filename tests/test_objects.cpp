// Tests of configuration objects: JSON round trip with unknown fields, and the operators'
// file with all its errors.
#include "config_samples.h"
#include "object_codec.h"
#include "object_file.h"
#include "property.h"

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

rc::Gen<std::string> anyName()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyz019"))));
}

rc::Gen<std::string> anyText()
{
    return rc::gen::container<std::string>(rc::gen::elementOf(std::string("az\"\\/ \n{}:,0")));
}

// Values that a newer release might write.
rc::Gen<Json::Value> anyJson()
{
    return rc::gen::exec([] {
        Json::Value made;
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            return Json::Value(*anyText());
        case 1:
            return Json::Value(Json::Int64(*rc::gen::arbitrary<std::int64_t>()));
        case 2:
            made["nested"]["list"].append(*anyText());
            return made;
        case 3:
            return Json::Value(*rc::gen::arbitrary<bool>());
        default:
            return made;
        }
    });
}

// An object of any kind with some of its fields changed.
config_object anyObject()
{
    auto made = *rc::gen::elementOf(sampleObjects());
    metaOf(made).name = *anyName();
    metaOf(made).labels = *rc::gen::container<labels>(anyName(), anyName());
    if (auto* account = std::get_if<client_account>(&made)) {
        account->weight = *rc::gen::arbitrary<std::uint64_t>();
        account->objectives.availability = *rc::gen::inRange(0, 1'000) / 1'000.0;
    }
    if (auto* routeObject = std::get_if<route>(&made)) {
        routeObject->methods = *rc::gen::container<std::vector<std::string>>(anyText());
        routeObject->priority = *rc::gen::arbitrary<std::int32_t>();
        routeObject->targets = selector::parseLenient(*anyText());
    }
    if (auto* pool = std::get_if<target_pool>(&made)) {
        pool->firmPricePerHour = micro_price(*rc::gen::arbitrary<std::int64_t>());
        pool->fencing = *rc::gen::element(fencing_support::Checked, fencing_support::Ignored);
    }
    if (auto* key = std::get_if<api_key>(&made))
        key->scopes = *rc::gen::container<std::vector<operator_scope>>(rc::gen::element(operator_scope::Read, operator_scope::Keys));
    return made;
}

std::vector<std::string> faultsOf(std::string_view toml)
{
    std::vector<std::string> lines;
    for (const auto& fault : readObjects(toml).faults)
        lines.push_back(toString(fault, "o.toml"));
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(objects_suite)

BOOST_AUTO_TEST_CASE(round_trip_keeps_known_and_unknown_fields)
{
    checkProperty("object codec", [] {
        const auto object = anyObject();
        auto value = toJson(object);
        value["zz_new"] = *anyJson();
        if (value.isMember("limits"))
            value["limits"]["zz_inner"] = *anyJson();
        const auto text = toText(value);
        const auto reread = parseJson(text, "test");
        RC_ASSERT(reread.has_value());
        const auto decoded = objectFromJson(kindOf(object), *reread);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(toText(toJson(*decoded)) == text);
    });
}

BOOST_AUTO_TEST_CASE(edit_keeps_the_fields_of_a_newer_release)
{
    auto value = toJson(config_object(sampleAccount("mawr")));
    value["region"] = "gogledd";
    value["limits"]["burst_ms"] = 20;
    auto decoded = *objectFromJson(object_kind::ClientAccount, value);
    std::get<client_account>(decoded).weight = 9;
    value["weight"] = 9u;
    BOOST_TEST(toText(toJson(decoded)) == toText(value));
}

BOOST_AUTO_TEST_CASE(envelope_keeps_the_stamp)
{
    config_object object = sampleRoute("quotes", "/v1");
    metaOf(object).changed = { revision(42), "anna", wall_time(std::chrono::milliseconds(5)) };
    const auto decoded = objectFromEnvelope(toEnvelope(object));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((metaOf(*decoded).changed == metaOf(object).changed));
}

BOOST_AUTO_TEST_CASE(wrong_types_are_reported_with_their_field)
{
    auto value = toJson(config_object(sampleAccount("mawr")));
    value["limits"]["burst"] = -1;
    const auto decoded = objectFromJson(object_kind::ClientAccount, value);
    BOOST_REQUIRE(!decoded);
    BOOST_TEST(decoded.error().detail == "client_account.limits.burst: expected a whole number, not negative");
    BOOST_TEST(!objectFromJson(object_kind::Route, Json::Value("text")));
    BOOST_TEST(!objectFromEnvelope(Json::Value(3)));
}

BOOST_AUTO_TEST_CASE(deeply_nested_text_is_refused)
{
    const std::string deep(100'000, '[');
    BOOST_TEST(!parseJson(deep, "test"));
    BOOST_TEST(!parseJson(R"({"a":1} x)", "test"));
    BOOST_TEST(!parseJson(R"({"a":1,"a":2})", "test"));
}

BOOST_AUTO_TEST_CASE(file_gives_typed_objects)
{
    const auto file = readObjects(R"([[client_account]]
name = "mawr"
labels = { tier = "gold" }
weight = 3
limits = { requests_per_second = 20, burst = 40 }
objectives = { availability = 0.999, first_token_ms = 400 }

[[target_pool]]
name = "model-pool"
model = "quotes"
ceiling = 8
failure_domains = ["caerdydd", "wrecsam"]
fencing = "checked"
accepts = "tier=gold"

[[route]]
name = "stock"
path_prefix = "/stock"
kind = "service"
methods = ["GET"]
)");
    BOOST_TEST(file.faults.empty());
    BOOST_REQUIRE(file.objects.size() == 3u);
    const auto& account = std::get<client_account>(file.objects[0]);
    BOOST_TEST(account.limits.burst == 40u);
    BOOST_TEST(account.objectives.availability == 0.999);
    const auto& pool = std::get<target_pool>(file.objects[1]);
    BOOST_TEST(pool.failureDomains.size() == 2u);
    BOOST_TEST((pool.fencing == fencing_support::Checked));
    BOOST_TEST((std::get<route>(file.objects[2]).kind == pool_kind::Service));
}

BOOST_AUTO_TEST_CASE(file_lists_all_errors_with_their_position)
{
    const auto faults = faultsOf(R"([[client_account]]
name = "mawr"
wieght = 3
weight = -1
limits = { burst = "many" }

[[client_account]]
name = "mawr"
labels = { tier = "g!" }

[[route]]
path_prefix = "/x"
kind = "engin"
targets = "a>b"

[[rout]]
name = "r"
)");
    const std::vector<std::string> expected {
        "o.toml:3:1: client_account.wieght: unknown field; expected one of labels, limits, name, objectives, weight",
        "o.toml:4:10: client_account.weight: expected a whole number from 0, found -1",
        "o.toml:5:20: client_account.limits.burst: expected a whole number, found text",
        "o.toml:8:8: client_account.name: expected a name of its own; \"mawr\" is there already",
        "o.toml:9:19: client_account.labels.tier: expected a label value of letters, digits and -_./, at most 63",
        "o.toml:11:1: route.name: expected a name",
        "o.toml:13:8: route.kind: expected one of engine, service, found \"engin\"",
        "o.toml:14:11: route.targets: expected a selector: column 2: expected '=', '==', '!=', 'in', 'notin', ',' or the end",
        "o.toml:16:3: rout: unknown kind; expected one of client_account, api_key, model_version, target_pool, route, run",
    };
    BOOST_CHECK_EQUAL_COLLECTIONS(faults.begin(), faults.end(), expected.begin(), expected.end());
}

BOOST_AUTO_TEST_CASE(invalid_toml_is_one_error_with_its_position)
{
    const auto file = readObjects("[[route]]\nname = \n");
    BOOST_REQUIRE(file.faults.size() == 1u);
    BOOST_TEST(file.faults[0].line == 2u);
    BOOST_TEST(file.faults[0].expected.starts_with("expected TOML: "));
}

BOOST_AUTO_TEST_SUITE_END()
