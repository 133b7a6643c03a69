// Status line and fields of an answer; see answer_head.h.
#include "http/answer_head.h"
#include "http/message_parts.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace lovagerail::http {

namespace {

    constexpr int firstFinalStatus = 200; // below, another head follows

    std::string lower(std::string_view text)
    {
        std::string out(text);
        std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r\n";
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        const auto last = text.find_last_not_of(blanks);
        return text.substr(first, last - first + 1);
    }

    bool isLineEnd(std::string_view text) { return text == "\r\n" || text == "\n"; }

    // The status that a status line states; empty if the line is none. For HTTP/2 libcurl makes up the line itself.
    // No request asks for another protocol, so the status that switches to one answers none.
    std::optional<int> parseStatusLine(std::string_view line, bool mayBeSecond)
    {
        constexpr int lowest = 100;
        constexpr int highest = 599;
        constexpr int switchingProtocols = 101;
        constexpr std::size_t digits = 3;
        const auto takePrefix = [&line](std::string_view prefix) {
            const bool has = line.substr(0, prefix.size()) == prefix;
            line.remove_prefix(has ? prefix.size() : 0);
            return has;
        };
        if (!takePrefix("HTTP/1.1 ") && !takePrefix("HTTP/1.0 ") && !(mayBeSecond && takePrefix("HTTP/2 ")))
            return std::nullopt;
        int status = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + std::min(digits, line.size()), status);
        const auto rest = line.substr(static_cast<std::size_t>(parsed.ptr - line.data()));
        if (parsed.ec != std::errc() || line.size() - rest.size() != digits || status < lowest || status > highest || status == switchingProtocols)
            return std::nullopt;
        return isLineEnd(rest) || rest.substr(0, 1) == " " ? std::optional(status) : std::nullopt;
    }

} // namespace

const char* answer_head::add(std::string_view line)
{
    m_bytes += line.size();
    if (m_bytes > m_maxBytes)
        return "the answer's head is too large";
    if (m_next == next_line::Trailer)
        return nullptr;
    if (m_next == next_line::Field)
        return addField(line);
    const auto status = parseStatusLine(line, m_mayBeSecond);
    if (!status)
        return "the answer has a malformed status line";
    m_status = *status;
    m_headers.clear(); // of an interim answer
    m_next = next_line::Field;
    return nullptr;
}

// Takes a field, or the blank line behind them.
const char* answer_head::addField(std::string_view line)
{
    if (isLineEnd(line)) {
        m_next = m_status < firstFinalStatus ? next_line::Status : next_line::Trailer;
        return nullptr;
    }
    const auto colon = line.find(':');
    const auto name = trim(line.substr(0, colon));
    const auto value = colon == std::string_view::npos ? std::string_view() : trim(line.substr(colon + 1));
    if (colon == std::string_view::npos || !isHeaderName(name) || line.front() == ' ' || line.front() == '\t' || !isHeaderValue(value))
        return "the answer's head has a malformed line";
    auto lowerName = lower(name);
    if (const auto* fault = framingFault(line.substr(0, colon), lowerName, value))
        return fault;
    m_headers.emplace_back(std::move(lowerName), std::string(value));
    return nullptr;
}

// Why nothing shows by which of its bytes a head with this line marks the end of the body; null if it is sound.
const char* answer_head::framingFault(std::string_view writtenName, std::string_view name, std::string_view value) const
{
    constexpr std::size_t maxLengthDigits = 18; // fits libcurl's type
    const bool isLength = name == "content-length";
    const bool isEncoding = name == "transfer-encoding";
    if (!isLength && !isEncoding)
        return nullptr;
    if (writtenName.size() != name.size())
        return "the answer's head has a blank in the name of its framing"; // libcurl does not know such a header
    const bool isNumber = !value.empty() && value.size() <= maxLengthDigits && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    if (isLength && !isNumber)
        return "the answer's head states a malformed length";
    const auto isOther = [&](const auto& header) { return header.first == name && (isEncoding || header.second != value); };
    if (std::any_of(m_headers.begin(), m_headers.end(), isOther))
        return isLength ? "the answer's head states two lengths" : "the answer's head states two transfer encodings";
    return nullptr;
}

} // namespace lovagerail::http
