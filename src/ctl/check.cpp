// Reads the files, applies the checks of both kinds of configuration and prints the findings.
#include "ctl/check.h"

#include "config.h"
#include "config_check.h"
#include "config_edit.h"
#include "object_file.h"
#include "platform/document_check.h"
#include "settings_fault.h"

#include <iostream>
#include <json/json.h>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lovagerail::ctl {

namespace {

    struct finding {
        fault_severity severity = fault_severity::Error;
        std::size_t line = 0; // 0: not known
        std::size_t column = 0;
        std::string path;
        std::string detail;
    };

    struct check_report {
        bool readable = true;
        std::vector<finding> findings;
        std::vector<std::string> differences;
    };

    // The platform's document is a JSON object; a TOML file never begins with a brace.
    bool isDocument(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        return first != std::string_view::npos && text[first] == '{';
    }

    void addDocument(std::string_view text, check_report& report)
    {
        const auto checked = platform::checkDocument(text);
        report.readable = checked.readable;
        for (const auto& found : checked.findings)
            report.findings.push_back({ found.severity, found.line, found.column, found.path, found.detail });
    }

    // The change that puts the file's objects; empty, with findings, if there are faults.
    std::optional<config_change> readChange(std::string_view text, const config& before, check_report& report)
    {
        auto read = readObjects(text);
        for (const auto& fault : read.faults) {
            report.findings.push_back({ fault_severity::Error, fault.line, fault.column, fault.field, fault.expected });
            report.readable = report.readable && !fault.field.empty(); // without a field: not TOML
        }
        if (!read.faults.empty())
            return std::nullopt;
        config_change change;
        change.from = before.at();
        change.to = before.at().next();
        change.puts = std::move(read.objects);
        return change;
    }

    // As with `apply`, objects that the file lacks stay as they are in `against`.
    void addObjects(std::string_view text, const std::optional<std::string>& against, check_report& report)
    {
        auto before = std::make_shared<const config>();
        if (against) {
            check_report ignored;
            const auto current = readChange(*against, *before, ignored);
            if (!current) {
                report.findings.push_back({ fault_severity::Error, 0, 0, "--against", "has faults of its own" });
                report.readable = false;
                return;
            }
            before = successor(*before, *current);
        }
        const auto change = readChange(text, *before, report);
        if (!change)
            return;
        const auto after = successor(*before, *change);
        const auto add = [&report](const std::vector<config_fault>& faults) {
            for (const auto& fault : faults)
                report.findings.push_back({ fault.severity, 0, 0, toString(fault.object) + (fault.field.empty() ? "" : ": " + fault.field), fault.detail });
        };
        add(checkConfig(*after));
        add(checkChange(*before, *change));
        if (!against)
            return;
        for (const auto& line : diff(*before, *after))
            report.differences.push_back(toString(line));
    }

    void print(const std::string& file, const check_report& report, output_format format)
    {
        if (format == output_format::Json) {
            Json::Value out(Json::objectValue);
            out["findings"] = Json::Value(Json::arrayValue);
            out["differences"] = Json::Value(Json::arrayValue);
            for (const auto& one : report.findings) {
                Json::Value row(Json::objectValue);
                row["severity"] = one.severity == fault_severity::Error ? "error" : "warning";
                if (one.line > 0) {
                    row["line"] = static_cast<Json::UInt64>(one.line);
                    row["column"] = static_cast<Json::UInt64>(one.column);
                }
                row["path"] = one.path;
                row["detail"] = one.detail;
                out["findings"].append(row);
            }
            for (const auto& line : report.differences)
                out["differences"].append(line);
            Json::StreamWriterBuilder writer;
            writer["indentation"] = "  ";
            std::cout << Json::writeString(writer, out) << "\n";
            return;
        }
        for (const auto& one : report.findings) {
            std::cout << file << ":";
            if (one.line > 0)
                std::cout << one.line << ":" << one.column << ":";
            std::cout << (one.severity == fault_severity::Error ? " error: " : " warning: ") << (one.path.empty() ? "" : one.path + ": ") << one.detail << "\n";
        }
        for (const auto& line : report.differences)
            std::cout << line << "\n";
    }

} // namespace

int checkFile(const std::string& file, const std::string& against, output_format format)
{
    // Step 1. Read both files.
    const auto text = readTextFile(file);
    std::optional<std::string> current;
    if (!against.empty())
        current = readTextFile(against);
    if (!text || (!against.empty() && !current)) {
        std::cerr << (text ? against : file) << ": can't be opened\n";
        return exitUnreadable;
    }
    if (current && isDocument(*text) != isDocument(*current)) {
        std::cerr << against << ": expected a file of the same kind as " << file << "\n";
        return exitUnreadable;
    }

    // Step 2. Check the file, and compare it.
    check_report report;
    if (isDocument(*text)) {
        addDocument(*text, report);
        if (current && !platform::checkDocument(*current).readable) {
            std::cerr << against << ": not a JSON object\n";
            return exitUnreadable;
        }
        if (current && report.readable)
            report.differences = platform::diffDocuments(*current, *text);
    } else {
        addObjects(*text, current, report);
    }
    print(file, report, format);
    if (!report.readable)
        return exitUnreadable;
    return report.findings.empty() ? exitOk : exitFindings;
}

} // namespace lovagerail::ctl
