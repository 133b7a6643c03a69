// Small valid configuration objects for tests of the configuration and of keys.
#pragma once

#include "config.h"
#include "keys.h"

#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

namespace lovagerail::test {

// A random number from `least` up to, but not including, `end`, from the whole range in
// every test case. Plain rc::gen::inRange would start with a small part of the range.
template <typename Number>
Number pick(Number begin, Number end)
{
    constexpr int fullSize = 100;
    return *rc::gen::resize(fullSize, rc::gen::inRange<Number>(begin, end));
}

inline client_account sampleAccount(std::string name, std::uint64_t weight = 1)
{
    client_account made;
    made.meta.name = std::move(name);
    made.meta.labels = { { "tier", "gold" } };
    made.weight = weight;
    return made;
}

inline target_pool samplePool(std::string name)
{
    target_pool made;
    made.meta.name = std::move(name);
    made.meta.labels = { { "size", "small" } };
    made.model = model_id("quotes");
    made.ceiling = 4;
    made.failureDomains = { failure_domain_id("caerdydd"), failure_domain_id("wrecsam") };
    return made;
}

inline route sampleRoute(std::string name, std::string prefix)
{
    route made;
    made.meta.name = std::move(name);
    made.pathPrefix = std::move(prefix);
    made.targets = selector::parseLenient("size=small");
    made.accounts = selector::parseLenient("tier in (gold)");
    return made;
}

inline run sampleRun(std::string name)
{
    run made;
    made.meta.name = std::move(name);
    made.account = client_account_id("mawr");
    made.model = model_id("quotes");
    return made;
}

inline model_version sampleVersion(std::string name, std::uint64_t number)
{
    model_version made;
    made.meta.name = std::move(name);
    made.model = model_id("quotes");
    made.version = weight_version(number);
    made.source = "http://weights";
    return made;
}

// An API key made from random bytes that are all `fill`.
inline new_key sampleKey(unsigned char fill)
{
    const std::vector<unsigned char> random(keyRandomBytes, fill);
    auto made = *makeKey(random);
    made.object.account = client_account_id("mawr");
    return made;
}

inline config_ptr configOf(std::uint64_t at, std::vector<config_object> objects)
{
    return successor({}, { revision(), revision(at), std::move(objects), {}, {}, {} });
}

inline std::vector<config_object> sampleObjects()
{
    return { sampleAccount("mawr"), samplePool("model-pool"), sampleRoute("quotes", "/v1"), sampleRun("advice"), sampleVersion("quotes-7", 7),
        sampleKey(1).object };
}

} // namespace lovagerail::test
