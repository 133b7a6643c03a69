// Reads the list headers Connection and Keep-Alive; see persistence.h.
#include "http/persistence.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

namespace lovagerail::http {

namespace {

    constexpr std::chrono::seconds maxIdleTimeout = std::chrono::hours(24);

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        const auto first = text.find_first_not_of(blanks);
        return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    bool equalIgnoringCase(std::string_view text, std::string_view lowerText)
    {
        return std::equal(text.begin(), text.end(), lowerText.begin(), lowerText.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
    }

    template <typename F>
    void forEachElement(std::string_view list, F visit)
    {
        while (!list.empty()) {
            const auto end = std::min(list.find(','), list.size());
            visit(trim(list.substr(0, end)));
            list.remove_prefix(std::min(end + 1, list.size()));
        }
    }

    std::optional<std::chrono::seconds> readTimeout(std::string_view parameter)
    {
        const auto separator = parameter.find('=');
        if (separator == std::string_view::npos || !equalIgnoringCase(trim(parameter.substr(0, separator)), "timeout"))
            return std::nullopt;
        const auto text = trim(parameter.substr(separator + 1));
        std::uint32_t seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || end != text.data() + text.size() || std::chrono::seconds(seconds) > maxIdleTimeout)
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

persistence persistenceOf(const header_list& headers)
{
    persistence out;
    for (const auto& [name, value] : headers) {
        if (name == "connection")
            forEachElement(value, [&out](std::string_view option) { out.closes = out.closes || equalIgnoringCase(option, "close"); });
        else if (name == "keep-alive") {
            forEachElement(value, [&out](std::string_view parameter) {
                if (const auto timeout = readTimeout(parameter))
                    out.idleTimeout = timeout;
            });
        }
    }
    return out;
}

} // namespace lovagerail::http
