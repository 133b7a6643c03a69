// Tests of version spans: what append() builds and rejects, and their JSON form.
#include "attribution.h"
#include "property.h"

namespace lovagerail::test {

namespace {

    // A version and a number of tokens.
    using version_and_tokens = std::pair<std::uint64_t, std::uint32_t>;

    std::vector<version_and_tokens> anyChunks()
    {
        const auto chunk = rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 5), rc::gen::inRange<std::uint32_t>(0, 6));
        return *rc::gen::container<std::vector<version_and_tokens>>(chunk);
    }

} // namespace

BOOST_AUTO_TEST_SUITE(attribution_suite)

BOOST_AUTO_TEST_CASE(spansNameTheVersionOfEachToken)
{
    checkProperty("spans", [] {
        attribution attributed;
        std::vector<weight_version> expected;
        for (const auto& [version, tokens] : anyChunks()) {
            RC_ASSERT(!attributed.append({ weight_version(version), attributed.nextToken(), tokens }));
            expected.insert(expected.end(), tokens, weight_version(version));
        }
        std::vector<weight_version> attributedVersions;
        for (const version_span& span : attributed.spans())
            attributedVersions.insert(attributedVersions.end(), span.last - span.first + 1, span.version);
        RC_ASSERT(attributedVersions == expected);
        RC_ASSERT(spansFromJson(toJson(attributed.spans())).value() == attributed.spans());
        RC_PRE(!expected.empty());
        RC_ASSERT(!attributed.finish(static_cast<std::uint32_t>(expected.size())));
        RC_ASSERT(oldestVersion(attributed.spans()) == *std::min_element(expected.begin(), expected.end()));
        RC_ASSERT(newestVersion(attributed.spans()) == *std::max_element(expected.begin(), expected.end()));
    });
}

BOOST_AUTO_TEST_CASE(uncertainVersionMakesSampleUnusableForGood)
{
    const auto startedAttribution = [] {
        attribution attributed;
        attributed.append({ weight_version(3), 0, 4 });
        return attributed;
    };
    attribution missing = startedAttribution();
    BOOST_TEST((missing.append({ std::nullopt, 4, 1 }) == unusable_reason::MissingVersion));
    BOOST_TEST((missing.append({ weight_version(3), 4, 1 }) == unusable_reason::MissingVersion));
    attribution gap = startedAttribution();
    BOOST_TEST((gap.append({ weight_version(3), 5, 1 }) == unusable_reason::TokenGap));
    attribution overlap = startedAttribution();
    BOOST_TEST((overlap.append({ weight_version(3), 3, 1 }) == unusable_reason::TokenOverlap));
    attribution length = startedAttribution();
    BOOST_TEST((length.finish(5) == unusable_reason::LengthMismatch));
    BOOST_TEST((attribution().finish(0) == unusable_reason::NoTokens));
}

BOOST_AUTO_TEST_CASE(ageCountsFromTheOldestSpan)
{
    const std::vector<version_span> spans { { weight_version(7), 0, 3 }, { weight_version(5), 4, 4 }, { weight_version(9), 5, 8 } };
    BOOST_TEST(ageOf(spans, weight_version(9)) == 4u);
    BOOST_TEST(ageOf(spans, weight_version(4)) == 0u);
}

BOOST_AUTO_TEST_CASE(decodingRejectsSpansThatAppendCannotBuild)
{
    const auto span = [](std::uint32_t version, std::uint32_t first, std::uint32_t last) {
        Json::Value json;
        json["version"] = version;
        json["first"] = first;
        json["last"] = last;
        return json;
    };
    const auto decode = [](const std::vector<Json::Value>& spans) {
        Json::Value json(Json::arrayValue);
        for (const Json::Value& item : spans)
            json.append(item);
        return spansFromJson(json).has_value();
    };
    Json::Value textInsteadOfNumber = span(1, 0, 3);
    textInsteadOfNumber["last"] = "3";
    BOOST_TEST(decode({ span(1, 0, 3), span(2, 4, 4) }));
    BOOST_TEST(!decode({ span(1, 0, 3), span(2, 5, 5) }));
    BOOST_TEST(!decode({ span(1, 0, 3), span(1, 4, 5) }));
    BOOST_TEST(!decode({ span(1, 2, 1) }));
    BOOST_TEST(!decode({ textInsteadOfNumber }));
    BOOST_TEST(!decode({ Json::Value(1) }));
    BOOST_TEST(!spansFromJson(Json::Value(Json::objectValue)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
