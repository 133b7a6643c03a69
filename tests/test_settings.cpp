// Tests of settings: a valid file, invalid files with their exact messages, and arbitrary
// bytes.
#include "settings.h"

#include "edge/entry_settings.h"
#include "object_file.h"
#include "property.h"

#include <algorithm>

using namespace lovagerail;

namespace {

const std::string validSettings = R"([instance]
name = "entry-0"
failure_domain = "caerdydd"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
instances = "127.0.0.1:8082"
[platform]
key_value = ["http://127.0.0.1:2379"]
platform = "http://127.0.0.1:2380"
)";

// All messages of a file, one a line.
std::string errorsOf(const std::string& text)
{
    std::string out;
    for (const auto& fault : readSettings(text, "s.toml").faults)
        out += toString(fault) + "\n";
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_suite)

BOOST_AUTO_TEST_CASE(valid_file_is_accepted)
{
    const auto reading = readSettings(validSettings + "[timing]\nlease = \"4s\"\nheartbeat = \"250ms\"\n[limits]\nbody = \"64 KiB\"\n", "s.toml");
    BOOST_TEST(reading.faults.empty());
    BOOST_TEST(reading.value.instance.name == "entry-0");
    BOOST_TEST(reading.value.timing.lease.count() == 4000);
    BOOST_TEST(reading.value.timing.heartbeat.count() == 250);
    BOOST_TEST(reading.value.limits.bodyBytes == 64 * 1024);
}

BOOST_AUTO_TEST_CASE(unknown_key)
{
    BOOST_TEST(errorsOf(validSettings + "[log]\nlevle = \"info\"\n") == "s.toml:12:1: unknown key log.levle\n");
}

BOOST_AUTO_TEST_CASE(unknown_section)
{
    BOOST_TEST(errorsOf(validSettings + "[lgo]\nlevel = \"info\"\n") == "s.toml:11:2: unknown section lgo\n");
}

BOOST_AUTO_TEST_CASE(wrong_type)
{
    BOOST_TEST(errorsOf(validSettings + "[limits]\nconnections = \"many\"\n") == "s.toml:12:15: limits.connections: expected a whole number from 1 to 65536\n");
}

BOOST_AUTO_TEST_CASE(wrong_unit)
{
    BOOST_TEST(errorsOf(validSettings + "[timing]\nlease = \"5 sec\"\n")
        == "s.toml:12:9: timing.lease: expected a time with unit ms, s, min or h from 500ms to 600s, such as \"250ms\"\n");
}

BOOST_AUTO_TEST_CASE(out_of_range)
{
    BOOST_TEST(errorsOf(validSettings + "[limits]\nbody = \"1 MiB\"\nheader = \"8 MiB\"\n")
        == "s.toml:13:10: limits.header: expected a size with unit B, KiB or MiB from 4 KiB to 1 MiB, such as \"64 KiB\"\n");
}

BOOST_AUTO_TEST_CASE(missing_key)
{
    BOOST_TEST(errorsOf("[instance]\nname = \"a\"\nfailure_domain = \"b\"\n[listen]\ncallers = \"1.2.3.4:1\"\noperators = \"1.2.3.4:2\"\n"
                        "instances = \"1.2.3.4:3\"\n[platform]\nplatform = \"http://a\"\n")
        == "s.toml:8:1: missing key platform.key_value: expected a list of one or more URLs that start with http:// or https://\n");
}

BOOST_AUTO_TEST_CASE(not_an_address)
{
    auto text = validSettings;
    text.replace(text.find("127.0.0.1:8080"), 14, "localhost:8080");
    BOOST_TEST(errorsOf(text) == "s.toml:5:11: listen.callers: expected a text \"IP:port\" with an IP number and a port from 1 to 65535\n");
}

BOOST_AUTO_TEST_CASE(not_toml)
{
    const auto text = errorsOf("[instance]\nname = entry\n");
    BOOST_TEST(text.rfind("s.toml:2:8: not TOML: ", 0) == 0u);
}

BOOST_AUTO_TEST_CASE(contradicting_values)
{
    BOOST_TEST(errorsOf(validSettings + "[timing]\nlease = \"1s\"\nheartbeat = \"500ms\"\n") == "s.toml: timing.lease: expected at least three times timing.heartbeat\n");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_in_order)
{
    BOOST_TEST(errorsOf(validSettings + "[log]\nlevel = \"loud\"\n[limits]\nconnections = 0\nbody = \"1 GiB\"\nnope = 1\n")
        == "s.toml:12:9: log.level: expected one of \"debug\", \"info\", \"warning\", \"error\"\n"
           "s.toml:14:15: limits.connections: expected a whole number from 1 to 65536\n"
           "s.toml:15:8: limits.body: expected a size with unit B, KiB or MiB from 1 KiB to 64 MiB, such as \"64 KiB\"\n"
           "s.toml:16:1: unknown key limits.nope\n");
}

BOOST_AUTO_TEST_CASE(missing_file)
{
    const auto reading = readSettingsFile("/nowhere/s.toml");
    BOOST_REQUIRE(reading.faults.size() == 1);
    BOOST_TEST(toString(reading.faults[0]) == "/nowhere/s.toml: can't be opened");
}

// Texts that trip an assertion inside the TOML parser are reported as errors with their line.
BOOST_AUTO_TEST_CASE(malformed_tables_are_errors_with_a_line)
{
    for (const std::string text : { "[[[[", "[instance]\nname = \"a\"\n[[[[", "[[[[\n" }) {
        const auto reading = readSettings(text, "f.toml");
        BOOST_REQUIRE(!reading.faults.empty());
        BOOST_TEST(reading.faults.front().line == 1u + static_cast<std::uint32_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(text.find("[[[[")), '\n')));
        BOOST_TEST(!readObjects(text).faults.empty());
    }
}

// Random bytes, and a valid file with some bytes changed, are parsed or reported as errors,
// but never terminate the program.
BOOST_AUTO_TEST_CASE(arbitrary_bytes_do_not_terminate_the_program)
{
    test::checkProperty("any bytes", [] {
        auto text = *rc::gen::container<std::string>(rc::gen::element('[', ']', '=', '"', '.', '{', '}', '\n', 'a', '1', '#', ',', '\'', '\\', '\0', '\xff'));
        if (*rc::gen::arbitrary<bool>()) {
            std::string whole = "[instance]\nname = \"a\"\nfailure_domain = \"b\"\n[log]\nlevel = \"info\"\n";
            whole.replace(*rc::gen::inRange<std::size_t>(0, whole.size()), *rc::gen::inRange<std::size_t>(0, 8), text);
            text = whole;
        }
        static_cast<void>(readSettings(text, "f.toml"));
        static_cast<void>(edge::readEntrySettings(text, "f.toml"));
        static_cast<void>(readObjects(text));
    });
}

BOOST_AUTO_TEST_SUITE_END()
