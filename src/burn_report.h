// The burn report for people: a text table, JSON, and one self-contained HTML page.
#pragma once

#include "burn.h"
#include "time_text.h"

#include <string>

namespace lovagerail {

struct burn_page_header {
    wall_time at {};
    std::size_t instancesAsked = 0;
    std::size_t instancesAnswered = 0;
};

// A table of the worst rows; `rows` bounds its length.
std::string burnText(const burn_report& report, const burn_page_header& header, std::size_t rows = 40);
Json::Value burnJson(const burn_report& report, const burn_page_header& header);
// No scripts and nothing from outside; plots are inline SVG; readable in light and dark.
std::string burnHtml(const burn_report& report, const burn_page_header& header);

// "14.4" from 14400 thousandths.
std::string formatBurn(std::uint64_t burnMilli);
// "99.90%" from parts per million.
std::string formatShare(std::uint64_t perMillion);
// "99.90% within 300 ms"
std::string describeBound(burn_objective objective, const objective_bound& bound);
// One sentence on the worst-served account and why.
std::string describeWorst(const burn_report& report);
// Text safe inside HTML and SVG elements and quoted attributes.
std::string escapeHtml(std::string_view text);

} // namespace lovagerail
