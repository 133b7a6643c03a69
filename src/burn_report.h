// Renders the burn report as a text table, as JSON, and as one self-contained HTML page.
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

// A text table of the worst rows, at most `rows` of them.
std::string burnText(const burn_report& report, const burn_page_header& header, std::size_t rows = 40);
Json::Value burnJson(const burn_report& report, const burn_page_header& header);
// One page without scripts or external resources, with inline SVG plots, for light and dark themes.
std::string burnHtml(const burn_report& report, const burn_page_header& header);

// Burn rate with one decimal: 14400 thousandths give "14.4".
std::string formatBurn(std::uint64_t burnMilli);
// Percentage with two decimals: 999000 parts per million give "99.90%".
std::string formatShare(std::uint64_t perMillion);
// An objective's bound as text, e.g. "99.90% within 300 ms".
std::string describeBound(burn_objective objective, const objective_bound& bound);
// One sentence that names the worst-served account and the main cause.
std::string describeWorst(const burn_report& report);
// Escapes text for use in HTML and SVG elements and quoted attributes.
std::string escapeHtml(std::string_view text);

} // namespace lovagerail
