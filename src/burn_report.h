// The burn report for people: a text table, JSON, and one self-contained HTML page.
#pragma once

#include "burn.h"

#include <string>

namespace lovagerail {

struct burn_page_header {
    wall_time at;
    std::size_t instancesAsked = 0;
    std::size_t instancesAnswered = 0;
};

// A table of the worst rows; `rows` bounds its length.
std::string burnText(const burn_report& report, const burn_page_header& header, std::size_t rows = 40);
Json::Value burnJson(const burn_report& report, const burn_page_header& header);
// No scripts and nothing from outside; plots are inline SVG; readable in light and dark.
std::string burnHtml(const burn_report& report, const burn_page_header& header);

// "2026-12-03 20:31:03 UTC"
std::string formatTime(wall_time at);
// Text safe inside HTML and SVG elements and quoted attributes.
std::string escapeHtml(std::string_view text);

} // namespace lovagerail
