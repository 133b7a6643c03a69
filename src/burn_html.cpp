// HTML form of the burn report: one page with inline SVG plots.
#include "burn_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace lovagerail {
namespace {

    constexpr std::size_t maxLines = 5; // one for each colour class below
    constexpr std::size_t maxBars = 10;
    constexpr std::size_t maxTableRows = 200;
    constexpr std::size_t maxLabelLength = 28;
    constexpr std::uint64_t minutesPerBucket = 5;

    // The colours have enough contrast in both themes. Lines also differ by the shape of
    // their markers.
    constexpr std::string_view style = R"css(
:root { color-scheme: light dark; --bg: #ffffff; --ink: #1a1c20; --soft: #5b616b; --rule: #d5d9e0; --panel: #f6f7f9;
  --c0: #0b62c4; --c1: #b8460e; --c2: #17794a; --c3: #8a3ab9; --c4: #7a6a00; --page: #b3261e; --ticket: #9a6700; }
@media (prefers-color-scheme: dark) { :root { --bg: #14161a; --ink: #e8eaed; --soft: #a3a9b3; --rule: #3a3f47; --panel: #1c1f24;
  --c0: #6db0ff; --c1: #ff9a66; --c2: #5fd39a; --c3: #d19bf2; --c4: #e0cf58; --page: #ff8a80; --ticket: #ffca5f; } }
body { background: var(--bg); color: var(--ink); font: 15px/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 1000px; padding: 24px; }
h1 { font-size: 24px; margin: 0; } h2 { font-size: 17px; margin: 32px 0 4px; } p { margin: 4px 0; } .soft { color: var(--soft); }
.worst { background: var(--panel); border-left: 4px solid var(--c0); margin: 16px 0; padding: 10px 14px; font-size: 17px; }
.worst.page { border-color: var(--page); } .worst.ticket { border-color: var(--ticket); }
.scroll { overflow-x: auto; } table { border-collapse: collapse; width: 100%; font-size: 14px; }
th, td { border-bottom: 1px solid var(--rule); padding: 5px 8px; text-align: left; vertical-align: top; white-space: nowrap; }
td.name { white-space: normal; overflow-wrap: anywhere; min-width: 90px; } th.figure, td.figure { text-align: right; font-variant-numeric: tabular-nums; }
.badge-page { color: var(--page); font-weight: 700; } .badge-ticket { color: var(--ticket); font-weight: 700; }
svg { width: 100%; height: auto; display: block; } svg text { fill: var(--ink); font: 13px system-ui, sans-serif; }
svg .soft { fill: var(--soft); } svg .grid { stroke: var(--rule); stroke-width: 1; } svg .axis { stroke: var(--soft); stroke-width: 1; }
svg .limit { stroke: var(--page); stroke-width: 1.5; stroke-dasharray: 6 4; } svg text.limit { fill: var(--page); stroke: none; }
svg .line { fill: none; stroke-width: 2.5; } .k0 { stroke: var(--c0); fill: var(--c0); } .k1 { stroke: var(--c1); fill: var(--c1); }
.k2 { stroke: var(--c2); fill: var(--c2); } .k3 { stroke: var(--c3); fill: var(--c3); } .k4 { stroke: var(--c4); fill: var(--c4); }
svg rect.k0, svg rect.k1 { stroke: none; }
)css";

    // Formats a coordinate with one decimal, independent of the locale.
    std::string formatCoordinate(double value)
    {
        const auto tenths = static_cast<long long>(std::lround(value * 10));
        const long long positive = std::abs(tenths);
        return (tenths < 0 ? "-" : "") + std::to_string(positive / 10) + "." + std::to_string(positive % 10);
    }

    std::string truncate(const std::string& text, std::size_t limit)
    {
        std::string clipped;
        std::size_t characters = 0;
        for (const char c : text) {
            const bool starts = (static_cast<unsigned char>(c) & 0xc0u) != 0x80u;
            if (starts && ++characters > limit)
                return clipped + "\u2026";
            clipped += c;
        }
        return clipped;
    }

    std::string labelOf(const burn_key& key)
    {
        std::string label = key.scope.account.str();
        if (!key.scope.pool.empty())
            label += " \u00b7 " + key.scope.pool.str();
        return label;
    }

    std::string svgText(double x, double y, std::string_view anchor, std::string_view cssClass, const std::string& text)
    {
        return "<text x=\"" + formatCoordinate(x) + "\" y=\"" + formatCoordinate(y) + "\" text-anchor=\"" + std::string(anchor) + "\" class=\"" + std::string(cssClass) + "\">" + escapeHtml(text)
            + "</text>";
    }

    std::string svgLine(double x1, double y1, double x2, double y2, std::string_view cssClass)
    {
        return "<line x1=\"" + formatCoordinate(x1) + "\" y1=\"" + formatCoordinate(y1) + "\" x2=\"" + formatCoordinate(x2) + "\" y2=\"" + formatCoordinate(y2) + "\" class=\"" + std::string(cssClass) + "\"/>";
    }

    // Rounds up to 1, 2 or 5 times a power of ten, so that axis ticks are round numbers.
    double roundUpForAxis(double value)
    {
        const double power = std::pow(10.0, std::floor(std::log10(std::max(value, 1.0))));
        for (const double step : { 1.0, 2.0, 5.0, 10.0 }) {
            if (value <= step * power)
                return step * power;
        }
        return 10 * power;
    }

    std::string tickText(double value)
    {
        return formatBurn(static_cast<std::uint64_t>(std::lround(value * 1000)));
    }

    // A marker whose shape differs by line, for readers who can't tell the colours apart.
    std::string svgMarker(double x, double y, std::size_t kind)
    {
        const std::string cssClass = "class=\"k" + std::to_string(kind) + "\"";
        constexpr double r = 4;
        if (kind == 0)
            return "<circle cx=\"" + formatCoordinate(x) + "\" cy=\"" + formatCoordinate(y) + "\" r=\"4\" " + cssClass + "/>";
        if (kind == 1)
            return "<rect x=\"" + formatCoordinate(x - r) + "\" y=\"" + formatCoordinate(y - r) + "\" width=\"8\" height=\"8\" " + cssClass + "/>";
        const auto point = [&](double dx, double dy) { return formatCoordinate(x + dx) + "," + formatCoordinate(y + dy) + " "; };
        std::string points = point(0, -5) + point(5, 4) + point(-5, 4);
        if (kind == 3)
            points = point(0, 5) + point(5, -4) + point(-5, -4);
        if (kind == 4)
            points = point(0, -5) + point(5, 0) + point(0, 5) + point(-5, 0);
        return "<polygon points=\"" + points + "\" " + cssClass + "/>";
    }

    std::string svgPath(const std::string& path, std::size_t kind)
    {
        return "<path d=\"" + path + "\" class=\"line k" + std::to_string(kind) + "\" style=\"fill:none\"/>";
    }

    std::string svgBar(double x, double y, double width, std::size_t kind)
    {
        return "<rect x=\"" + formatCoordinate(x) + "\" y=\"" + formatCoordinate(y) + "\" width=\"" + formatCoordinate(width) + "\" height=\"13\" class=\"k" + std::to_string(kind) + "\"/>";
    }

    // --- Line plot: burn rate over the last hour of each of the worst rows -----------

    struct line_frame {
        double left = 64;
        double right = 940;
        double top = 24;
        double bottom = 280;
        double highest = 1; // burn rate at the top

        double x(std::size_t age) const { return right - (right - left) * static_cast<double>(age) / (burnSeriesLength - 1); }
        double y(double burn) const { return bottom - (bottom - top) * std::min(burn, highest) / highest; }
    };

    double burnAt(const burn_row& row, std::size_t age)
    {
        return static_cast<double>(burnRateMilli(row.statistics.series[age], row.statistics.bound)) / 1000;
    }

    std::string lineAxes(const line_frame& frame, wall_time reportTime)
    {
        constexpr int ticks = 5;
        constexpr double pageBurn = 14.4;
        std::string svg;
        for (int i = 0; i <= ticks; ++i) {
            const double burn = frame.highest * i / ticks;
            svg += svgLine(frame.left, frame.y(burn), frame.right, frame.y(burn), i == 0 ? "axis" : "grid");
            svg += svgText(frame.left - 8, frame.y(burn) + 4, "end", "soft", tickText(burn));
        }
        for (std::size_t age = 0; age < burnSeriesLength; age += 3) {
            const auto minutes = std::chrono::minutes(minutesPerBucket * age);
            svg += svgText(frame.x(age), frame.bottom + 20, "middle", "soft", formatClock(reportTime - minutes));
        }
        svg += svgText((frame.left + frame.right) / 2, frame.bottom + 42, "middle", "", "Time of day (UTC), in buckets of 5 minutes");
        svg += "<text transform=\"translate(16 " + formatCoordinate((frame.top + frame.bottom) / 2) + ") rotate(-90)\" text-anchor=\"middle\">Burn rate (budget = 1)</text>";
        if (frame.highest >= pageBurn) {
            svg += svgLine(frame.left, frame.y(pageBurn), frame.right, frame.y(pageBurn), "limit");
            svg += svgText(frame.left + 6, frame.y(pageBurn) - 6, "start", "limit", "page above 14.4");
        }
        return svg;
    }

    std::string linePlot(const std::vector<burn_row>& rows, wall_time reportTime)
    {
        line_frame frame;
        for (const burn_row& row : rows) {
            for (std::size_t age = 0; age < burnSeriesLength; ++age)
                frame.highest = std::max(frame.highest, burnAt(row, age));
        }
        frame.highest = roundUpForAxis(frame.highest);
        const double legendTop = frame.bottom + 70;
        const double height = legendTop + 22 * static_cast<double>(rows.size());
        std::string svg = "<svg viewBox=\"0 0 960 " + formatCoordinate(height) + "\" role=\"img\" aria-label=\"Burn rate over the last hour\">" + lineAxes(frame, reportTime);
        for (std::size_t i = 0; i < rows.size(); ++i) {
            std::string path;
            std::string marks;
            for (std::size_t age = burnSeriesLength; age-- > 0;) {
                const double y = frame.y(burnAt(rows[i], age));
                path += path.empty() ? "M" : " L";
                path += formatCoordinate(frame.x(age));
                path += ' ';
                path += formatCoordinate(y);
                marks += svgMarker(frame.x(age), y, i);
            }
            svg += svgPath(path, i);
            svg += marks;
            const double y = legendTop + 22 * static_cast<double>(i);
            svg += svgMarker(frame.left + 8, y - 4, i);
            svg += svgText(frame.left + 24, y, "start", "", truncate(labelOf(rows[i].key), 70) + ", " + std::string(toString(rows[i].key.objective)));
        }
        return svg + "</svg>";
    }

    // --- Bar plot: highest burn rate of each account, last hour and last 5 minutes ----

    std::string barPlot(const std::vector<burn_row>& rows)
    {
        constexpr double left = 250;
        constexpr double right = 890;
        constexpr double top = 34;
        constexpr double pitch = 40;
        const auto burn = [](const burn_row& row, burn_window window) { return static_cast<double>(row.burnMilli[static_cast<std::size_t>(window)]) / 1000; };
        double highest = 1;
        for (const burn_row& row : rows)
            highest = std::max({ highest, burn(row, burn_window::OneHour), burn(row, burn_window::FiveMinutes) });
        highest = roundUpForAxis(highest);
        const auto x = [&](double value) { return left + (right - left) * value / highest; };
        const double bottom = top + pitch * static_cast<double>(rows.size());
        // Step 1. Legend and axes.
        std::string svg = "<svg viewBox=\"0 0 960 " + formatCoordinate(bottom + 50) + "\" role=\"img\" aria-label=\"Worst burn rate of each account\">";
        svg += "<rect x=\"250\" y=\"6\" width=\"14\" height=\"12\" class=\"k0\"/>" + svgText(270, 17, "start", "", "last hour");
        svg += "<rect x=\"360\" y=\"6\" width=\"14\" height=\"12\" class=\"k1\"/>" + svgText(380, 17, "start", "", "last 5 minutes");
        for (int i = 0; i <= 5; ++i) {
            const double value = highest * i / 5;
            svg += svgLine(x(value), top, x(value), bottom, i == 0 ? "axis" : "grid");
            svg += svgText(x(value), bottom + 18, "middle", "soft", tickText(value));
        }
        svg += svgText((left + right) / 2, bottom + 40, "middle", "", "Burn rate (budget = 1)");
        // Step 2. Two bars for each account.
        for (std::size_t i = 0; i < rows.size(); ++i) {
            const double y = top + pitch * static_cast<double>(i) + 5;
            svg += svgText(left - 8, y + 11, "end", "", truncate(rows[i].key.scope.account.str(), maxLabelLength));
            svg += svgText(left - 8, y + 26, "end", "soft", std::string(toString(rows[i].key.objective)));
            double barTop = y;
            std::size_t kind = 0;
            for (const burn_window window : { burn_window::OneHour, burn_window::FiveMinutes }) {
                const double value = burn(rows[i], window);
                svg += svgBar(left, barTop, std::max(1.0, x(value) - left), kind++);
                svg += svgText(x(value) + 6, barTop + 11, "start", "soft", tickText(value));
                barTop += 15;
            }
        }
        return svg + "</svg>";
    }

    // The first row of each account in the report, which is its worst one.
    std::vector<burn_row> worstRowPerAccount(const burn_report& report)
    {
        std::vector<burn_row> rows;
        std::set<client_account_id> accounts;
        for (const burn_row& row : report.rows) {
            if (rows.size() == maxBars)
                break;
            if (row.key.scope.account.empty() || !accounts.insert(row.key.scope.account).second)
                continue;
            rows.push_back(row);
        }
        return rows;
    }

    std::string cell(std::string_view cssClass, const std::string& text)
    {
        return "<td class=\"" + std::string(cssClass) + "\">" + escapeHtml(text) + "</td>";
    }

    std::string tableRow(const burn_row& row)
    {
        std::string html = "<tr>" + cell("name", row.key.scope.account.str()) + cell("name", row.key.scope.pool.str())
            + cell("", std::string(toString(row.key.objective))) + cell("", describeBound(row.key.objective, row.statistics.bound));
        for (const std::uint64_t burn : row.burnMilli)
            html += cell("figure", formatBurn(burn));
        html += cell("figure", formatShare(row.budgetSpentPerMillion));
        const std::string alert(toString(row.alert));
        html += row.alert == burn_alert::None ? cell("", "") : cell("badge-" + alert, alert);
        return html + cell("", row.mainCause ? std::string(toString(*row.mainCause)) : "") + "</tr>\n";
    }

    std::string tableHtml(const burn_report& report)
    {
        std::string html = "<div class=\"scroll\"><table><thead><tr><th>Account</th><th>Pool</th><th>Objective</th><th>Bound</th>"
                           "<th class=\"figure\">5 min</th><th class=\"figure\">30 min</th><th class=\"figure\">1 h</th><th class=\"figure\">6 h</th>"
                           "<th class=\"figure\">Budget</th><th>Alert</th><th>Main cause</th></tr></thead><tbody>\n";
        std::size_t shown = 0;
        for (const burn_row& row : report.rows) {
            if (shown++ == maxTableRows)
                break;
            html += tableRow(row);
        }
        html += "</tbody></table></div>";
        if (report.rows.size() > maxTableRows)
            html += "<p class=\"soft\">" + std::to_string(report.rows.size() - maxTableRows) + " more rows are in the JSON report.</p>";
        return html;
    }

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '&')
            escaped += "&amp;";
        else if (c == '<')
            escaped += "&lt;";
        else if (c == '>')
            escaped += "&gt;";
        else if (c == '"')
            escaped += "&quot;";
        else if (c == '\'')
            escaped += "&#39;";
        else if (static_cast<unsigned char>(c) < 0x20)
            escaped += ' ';
        else
            escaped += c;
    }
    return escaped;
}

std::string burnHtml(const burn_report& report, const burn_page_header& header)
{
    // Step 1. Heading and the worst-served account.
    std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width\">"
                       "<title>Service-level burn</title><style>"
        + std::string(style) + "</style></head><body>\n<h1>Service-level burn</h1>\n";
    html += "<p class=\"soft\">" + escapeHtml(formatTime(header.at)) + ", " + std::to_string(header.instancesAnswered) + " of "
        + std::to_string(header.instancesAsked) + " instances answered</p>\n";
    const std::string alert(report.worstRow ? toString(report.worstRow->alert) : "none");
    html += "<p class=\"worst " + alert + "\">" + escapeHtml(describeWorst(report)) + "</p>\n";
    if (report.rows.empty())
        return html + "<p>No objective has seen an event in the last six hours.</p></body></html>\n";
    // Step 2. Plots.
    std::vector<burn_row> worst;
    for (const burn_row& row : report.rows) {
        if (worst.size() < maxLines)
            worst.push_back(row);
    }
    html += "<h2>Burn rate over the last hour</h2><p class=\"soft\">The fastest-burning account, pool and objective.</p>\n" + linePlot(worst, header.at);
    html += "\n<h2>Worst objective of each account</h2><p class=\"soft\">The accounts that burn fastest.</p>\n" + barPlot(worstRowPerAccount(report));
    // Step 3. Table of all objectives.
    html += "\n<h2>All objectives</h2><p class=\"soft\">Burn rate 1 spends the error budget in exactly 30 days. "
            "Budget: share of the 30 days' budget that the last six hours spent.</p>\n"
        + tableHtml(report);
    return html + "\n</body></html>\n";
}

} // namespace lovagerail
