// Joins rapidcheck to Boost.Test: PROPERTY(name, lambda) is a test case whose
// lambda takes generated arguments. Seeds are fixed, so each run gives the same verdict.
#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace lovagerail::test {

// Checks a property with a fixed seed; RC_PARAMS adds to or overrides the defaults.
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
