// Tests of the software versions that served lately: one is named only where no other one can have begun a stream.
#include "software_history.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;
    using verdict = software_history::verdict;

    const pool_id pool("p");
    const target_software one { pool, "v1" };
    const target_software other { pool, "v2" };
    constexpr instant start { 1h };

    // Follows lists of the software for so long, one each second; returns the time of the last one.
    instant follow(software_history& history, const std::set<target_software>& listed, instant from, duration span)
    {
        auto now = from;
        for (; now < from + span; now += 1s)
            history.observe(listed, now, now);
        return now - 1s;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(software_history_suite)

BOOST_AUTO_TEST_CASE(a_list_that_is_older_than_the_question_proves_nothing)
{
    software_history history;
    BOOST_TEST((history.onlySoftware({ pool }, start, start).is == verdict::Unproven));
    history.observe({ one }, start, start);
    history.restore({}, start);
    BOOST_TEST((history.onlySoftware({ pool }, start + 1ms, start + 1s).is == verdict::Unproven));
    const auto found = history.onlySoftware({ pool }, start, start + 1s);
    BOOST_TEST((found.is == verdict::Found));
    BOOST_TEST((found.software == one));
}

BOOST_AUTO_TEST_CASE(an_instance_that_just_started_needs_the_record)
{
    software_history history({ 10s, 2s });
    const auto now = follow(history, { one }, start, 10s);
    BOOST_TEST((history.onlySoftware({ pool }, now, now).is == verdict::Incomplete));
    history.observe({ one }, start + 10s, start + 10s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 10s, start + 10s).is == verdict::Found));
}

BOOST_AUTO_TEST_CASE(a_version_that_has_just_left_counts)
{
    software_history history({ 10s, 2s });
    history.observe({ one }, start, start);
    history.restore({}, start);
    follow(history, { one, other }, start, 2s);
    const auto now = follow(history, { other }, start + 2s, 9s);
    BOOST_TEST((history.onlySoftware({ pool }, now, now).is == verdict::Ambiguous));
    history.observe({ other }, start + 11s, start + 11s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 11s, start + 11s).software == other));
}

BOOST_AUTO_TEST_CASE(a_version_of_the_record_counts_from_its_reading_on)
{
    software_history history({ 10s, 2s });
    history.observe({ other }, start, start);
    history.restore({ one }, start);
    const auto now = follow(history, { other }, start, 10s);
    BOOST_TEST((history.onlySoftware({ pool }, now, now).is == verdict::Ambiguous));
    BOOST_TEST((history.onlySoftware({ pool_id("q") }, now, now).is == verdict::Ambiguous));
    history.observe({ other }, start + 10s, start + 10s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 10s, start + 10s).software == other));
}

BOOST_AUTO_TEST_CASE(a_gap_between_lists_may_hide_a_version)
{
    software_history history({ 10s, 2s });
    history.observe({ one }, start, start);
    history.restore({}, start);
    history.observe({ one }, start + 2s, start + 2s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 2s, start + 2s).is == verdict::Found));
    history.observe({ one }, start + 5s, start + 5s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 5s, start + 5s).is == verdict::Incomplete));
    history.restore({ one }, start + 5s);
    BOOST_TEST((history.onlySoftware({ pool }, start + 5s, start + 5s).is == verdict::Found));
}

BOOST_AUTO_TEST_CASE(versions_of_other_pools_do_not_count)
{
    software_history history;
    const target_software elsewhere { pool_id("q"), "v2" };
    history.observe({ one, elsewhere }, start, start);
    history.restore({}, start);
    BOOST_TEST((history.onlySoftware({ pool }, start, start).software == one));
    BOOST_TEST((history.onlySoftware({ pool, elsewhere.pool }, start, start).is == verdict::Ambiguous));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
