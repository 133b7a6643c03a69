// Parsing of TOML. As a failed assertion has no position, its line is found by parsing
// growing prefixes of the text.
#include "toml_text.h"

#include <stdexcept>

namespace lovagerail {

namespace {

    struct assertion_failure : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    bool tripsAssertion(std::string_view text)
    {
        try {
            static_cast<void>(toml::parse(text));
        } catch (const toml::parse_error&) {
            return false;
        } catch (const assertion_failure&) {
            return true;
        }
        return false;
    }

    // The number of the first line after which the prefix trips the assertion.
    std::uint32_t lineOfAssertion(std::string_view text)
    {
        std::uint32_t line = 1;
        for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
            if (tripsAssertion(text.substr(0, end)))
                return line;
            ++line;
        }
        return line;
    }

} // namespace

void detail::tomlAssertionFailed() { throw assertion_failure("malformed"); }

tl::expected<toml::table, toml_fault> parseToml(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& e) {
        return tl::unexpected(toml_fault { e.source().begin.line, e.source().begin.column, std::string(e.description()) });
    } catch (const assertion_failure&) {
        return tl::unexpected(toml_fault { lineOfAssertion(text), 1, "malformed key or table name" });
    }
}

} // namespace lovagerail
