// toml++ with faults instead of failed assertions: some malformed texts trip an
// assertion inside its parser, which must not end a program that checks settings.
//
// Every file that uses toml++ includes it through this header.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lovagerail::detail {

[[noreturn]] void tomlAssertionFailed();

} // namespace lovagerail::detail

#define TOML_ASSERT(expression) ((expression) ? static_cast<void>(0) : ::lovagerail::detail::tomlAssertionFailed())
#include <toml++/toml.h>

namespace lovagerail {

struct toml_fault {
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string what;
};

// The table, or where and why the text is not TOML. Any bytes are allowed.
tl::expected<toml::table, toml_fault> parseToml(std::string_view text);

} // namespace lovagerail
