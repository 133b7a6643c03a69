// Wrapper of toml++ that reports errors instead of aborting: some malformed texts trip an
// assertion inside its parser, which must not terminate a program that checks settings.
//
// Every file that uses toml++ must include it through this header.
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

// Parses TOML; fails with the position and reason. The text may contain any bytes.
tl::expected<toml::table, toml_fault> parseToml(std::string_view text);

} // namespace lovagerail
