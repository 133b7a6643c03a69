// Tests of snapshots: round trip, and that corrupt, truncated or newer files never load.
#include "config_samples.h"
#include "object_codec.h"
#include "property.h"
#include "snapshot.h"

#include <filesystem>
#include <fstream>

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

snapshot sampleSnapshot()
{
    auto full = configOf(9, sampleObjects())->full();
    full.foreignPuts = { { "judge_panel/p", R"({"kind":"judge_panel","object":{"name":"p","lines":"a\nb"}})", revision(4) } };
    return { full, { { key_id("00ff"), revision(8) }, { key_id("01ff"), revision(9) } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_suite)

BOOST_AUTO_TEST_CASE(round_trip)
{
    const auto local = sampleSnapshot();
    const auto decoded = decodeSnapshot(encodeSnapshot(local));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(toText(toJson(decoded->configuration)) == toText(toJson(local.configuration)));
    BOOST_TEST((decoded->denied == local.denied));
}

BOOST_AUTO_TEST_CASE(file_with_a_flipped_bit_does_not_load)
{
    const auto bytes = encodeSnapshot(sampleSnapshot());
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        auto damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ (1 << (at % 8)));
        BOOST_REQUIRE_MESSAGE(!decodeSnapshot(damaged), "flipped at " << at);
    }
}

BOOST_AUTO_TEST_CASE(truncated_or_extended_file_does_not_load)
{
    const auto bytes = encodeSnapshot(sampleSnapshot());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_REQUIRE_MESSAGE(!decodeSnapshot(std::string_view(bytes).substr(0, length)), "cut at " << length);
    BOOST_TEST(!decodeSnapshot(bytes + " "));
}

BOOST_AUTO_TEST_CASE(file_with_noise_does_not_load)
{
    checkProperty("snapshot noise", [] {
        auto bytes = encodeSnapshot(sampleSnapshot());
        const auto original = bytes;
        const auto begin = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto noise = *rc::gen::arbitrary<std::string>();
        bytes.replace(begin, noise.size(), noise);
        RC_ASSERT((bytes == original || !decodeSnapshot(bytes)));
    });
}

BOOST_AUTO_TEST_CASE(newer_format_is_reported)
{
    auto bytes = encodeSnapshot(sampleSnapshot());
    bytes[15] = 2;
    const auto decoded = decodeSnapshot(bytes);
    BOOST_REQUIRE(!decoded);
    BOOST_TEST((decoded.error().code == error_code::Unsupported));
    BOOST_TEST(decoded.error().detail == "format version 2; this release reads 1");
}

BOOST_AUTO_TEST_CASE(file_is_replaced_atomically)
{
    std::string folder = (std::filesystem::temp_directory_path() / "lovagerail-snapshot-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(folder.data()) != nullptr);
    const std::string path = folder + "/snapshot";
    const auto none = loadSnapshot(path);
    BOOST_TEST((!none && none.error().code == error_code::NotFound));
    BOOST_TEST(!saveSnapshot(folder + "/missing/snapshot", sampleSnapshot()));

    BOOST_TEST(saveSnapshot(path, sampleSnapshot()).has_value());
    // A partly written temporary file, as left by a crash, is ignored.
    std::ofstream(path + ".new") << "lovagesn";
    BOOST_TEST(loadSnapshot(path).has_value());
    auto next = sampleSnapshot();
    next.configuration.to = revision(10);
    BOOST_TEST(saveSnapshot(path, next).has_value());
    BOOST_TEST(loadSnapshot(path)->configuration.to == revision(10));
    BOOST_TEST(!std::filesystem::exists(path + ".new"));

    std::ofstream(path) << "lovagesn";
    const auto damaged = loadSnapshot(path);
    BOOST_TEST((!damaged && damaged.error().code == error_code::Corrupt && damaged.error().peerName == path));
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()
