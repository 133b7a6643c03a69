// Which texts may stand in the head of an HTTP request. One with a line break would end its line, and what
// follows would be read as further headers or as another request; one with a zero byte would be cut there.
#pragma once

#include <string_view>

namespace lovagerail::http {

namespace detail {

    inline constexpr std::string_view lineEnds("\r\n\0", 3);
    inline constexpr std::string_view partEnds("\r\n\0 \t", 5);
    inline constexpr std::string_view nameEnds("\r\n\0 \t:", 6);

    constexpr bool hasNoneOf(std::string_view text, std::string_view bytes) { return text.find_first_of(bytes) == std::string_view::npos; }

} // namespace detail

// A method, or a path with its query.
constexpr bool isRequestPart(std::string_view text) { return detail::hasNoneOf(text, detail::partEnds); }
constexpr bool isHeaderName(std::string_view text) { return !text.empty() && detail::hasNoneOf(text, detail::nameEnds); }
constexpr bool isHeaderValue(std::string_view text) { return detail::hasNoneOf(text, detail::lineEnds); }

} // namespace lovagerail::http
