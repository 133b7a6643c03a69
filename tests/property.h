// Runs rapidcheck properties inside Boost.Test cases. ctest sets a fixed seed through the
// environment variable RC_PARAMS, so that every run gives the same result.
#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace lovagerail::test {

// Checks a property, a function with generated arguments. RC_PARAMS adds to or overrides
// rapidcheck's default parameters.
template <typename Testable>
void checkProperty(const std::string& name, Testable&& testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto outcome = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, rc::detail::configuration().testParams);
    std::ostringstream message;
    rc::detail::printResultMessage(outcome, message);
    BOOST_CHECK_MESSAGE(outcome.template is<rc::detail::SuccessResult>(), name << ": " << message.str());
}

} // namespace lovagerail::test
