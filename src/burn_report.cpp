// Text and JSON form of the burn report.
#include "burn_report.h"

#include <algorithm>
#include <array>

namespace lovagerail {
namespace {

    constexpr std::size_t columns = 10;
    using table_line = std::array<std::string, columns>;

    std::string pad(const std::string& text, std::size_t width, bool alignRight)
    {
        // Continuation bytes of UTF-8 take no column.
        const auto columnsUsed = static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0u) != 0x80u; }));
        const std::string blank(width > columnsUsed ? width - columnsUsed : 0, ' ');
        return alignRight ? blank + text : text + blank;
    }

    std::string table(const std::vector<table_line>& lines)
    {
        constexpr std::size_t firstFigure = 4;
        constexpr std::size_t lastFigure = 7;
        std::array<std::size_t, columns> widths {};
        for (const table_line& line : lines) {
            for (std::size_t i = 0; i < columns; ++i)
                widths[i] = std::max(widths[i], line[i].size());
        }
        std::string text;
        for (const table_line& line : lines) {
            std::string row;
            for (std::size_t i = 0; i < columns; ++i)
                row += pad(line[i], widths[i], i >= firstFigure && i <= lastFigure) + "  ";
            row.erase(row.find_last_not_of(' ') + 1);
            text += row + "\n";
        }
        return text;
    }

    Json::Value rowJson(const burn_row& row)
    {
        Json::Value json(Json::objectValue);
        json["account"] = row.key.scope.account.str();
        json["pool"] = row.key.scope.pool.str();
        json["objective"] = std::string(toString(row.key.objective));
        json["bound"] = describeBound(row.key.objective, row.statistics.bound);
        json["alert"] = std::string(toString(row.alert));
        if (row.mainCause)
            json["main_cause"] = std::string(toString(*row.mainCause));
        json["budget_spent_per_million"] = Json::UInt64(row.budgetSpentPerMillion);
        for (std::size_t i = 0; i < burnWindows; ++i) {
            Json::Value& window = json["windows"][std::string(toString(static_cast<burn_window>(i)))];
            window["good"] = Json::UInt64(row.statistics.windows[i].good);
            window["bad"] = Json::UInt64(row.statistics.windows[i].bad);
            window["burn_rate_milli"] = Json::UInt64(row.burnMilli[i]);
        }
        for (std::size_t i = 0; i < burnCauses; ++i) {
            if (row.statistics.causes[i] != 0)
                json["causes"][std::string(toString(static_cast<burn_cause>(i)))] = Json::UInt64(row.statistics.causes[i]);
        }
        return json;
    }

} // namespace

std::string formatBurn(std::uint64_t burnMilli)
{
    constexpr std::uint64_t oneDecimal = 100;
    const std::uint64_t tenths = (burnMilli + oneDecimal / 2) / oneDecimal;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

std::string formatShare(std::uint64_t perMillion)
{
    const std::uint64_t hundredths = (perMillion + 50) / 100; // of a per cent
    const std::string decimals = std::to_string(hundredths % 100);
    return std::to_string(hundredths / 100) + "." + std::string(2 - decimals.size(), '0') + decimals + "%";
}

std::string describeBound(burn_objective objective, const objective_bound& bound)
{
    const std::string share = formatShare(bound.goodPerMillion);
    if (objective == burn_objective::Availability)
        return share + " answered";
    if (objective == burn_objective::Staleness)
        return share + " at most " + std::to_string(bound.versions) + " versions old";
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(bound.within).count();
    const bool wholeSeconds = millis >= 1000 && millis % 1000 == 0;
    return share + " within " + (wholeSeconds ? std::to_string(millis / 1000) + " s" : std::to_string(millis) + " ms");
}

std::string describeWorst(const burn_report& report)
{
    if (!report.worstRow)
        return "No account misses an objective.";
    const burn_row& row = *report.worstRow;
    const burn_counts& hour = row.statistics.windows[static_cast<std::size_t>(burn_window::OneHour)];
    std::string text = "Worst served: " + row.key.scope.account.str();
    if (!row.key.scope.pool.empty())
        text += " at " + row.key.scope.pool.str();
    text += ", " + std::string(toString(row.key.objective)) + ": " + std::to_string(hour.bad) + " of " + std::to_string(hour.good + hour.bad)
        + " missed in the last hour";
    if (row.mainCause)
        text += ", mostly " + std::string(toString(*row.mainCause));
    return text + ".";
}

std::string burnText(const burn_report& report, const burn_page_header& header, std::size_t rows)
{
    // Step 1. Heading and the worst-served account.
    std::string text = "Service-level burn at " + formatTime(header.at) + ", " + std::to_string(header.instancesAnswered) + " of "
        + std::to_string(header.instancesAsked) + " instances answered\n" + describeWorst(report) + "\n\n";
    // Step 2. The table.
    std::vector<table_line> lines { { "ACCOUNT", "POOL", "OBJECTIVE", "BOUND", "5M", "30M", "1H", "6H", "ALERT", "CAUSE" } };
    for (const burn_row& row : report.rows) {
        if (lines.size() > rows)
            break;
        lines.push_back({ row.key.scope.account.str(), row.key.scope.pool.str(), std::string(toString(row.key.objective)),
            describeBound(row.key.objective, row.statistics.bound), formatBurn(row.burnMilli[0]), formatBurn(row.burnMilli[1]),
            formatBurn(row.burnMilli[2]), formatBurn(row.burnMilli[3]), row.alert == burn_alert::None ? "" : std::string(toString(row.alert)),
            row.mainCause ? std::string(toString(*row.mainCause)) : "" });
    }
    text += table(lines);
    if (report.rows.size() > rows)
        text += "and " + std::to_string(report.rows.size() - rows) + " more rows\n";
    return text + "Burn rate 1 spends the error budget in exactly 30 days.\n";
}

Json::Value burnJson(const burn_report& report, const burn_page_header& header)
{
    Json::Value json(Json::objectValue);
    json["at_ms"] = Json::Int64(header.at.time_since_epoch().count());
    json["instances_asked"] = Json::UInt64(header.instancesAsked);
    json["instances_answered"] = Json::UInt64(header.instancesAnswered);
    if (report.worstAccount)
        json["worst_account"] = report.worstAccount->str();
    if (report.worstRow)
        json["worst_row"] = rowJson(*report.worstRow);
    json["rows"] = Json::Value(Json::arrayValue);
    for (const burn_row& row : report.rows)
        json["rows"].append(rowJson(row));
    return json;
}

} // namespace lovagerail
