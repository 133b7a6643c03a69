// Implements the commands by calls to the operators' API, and prints the answers.
#include "ctl/commands.h"

#include "config.h"
#include "config_edit.h"
#include "ctl/table.h"
#include "http_status.h"
#include "keys.h"
#include "object_codec.h"
#include "object_file.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <json/json.h>
#include <openssl/rand.h>
#include <thread>

namespace lovagerail::ctl {

namespace {

    constexpr std::chrono::milliseconds statusPollInterval { 100 };

    void printJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "  ";
        std::cout << Json::writeString(writer, value) << "\n";
    }

    std::string textOf(const Json::Value& value)
    {
        if (value.isNull())
            return "-";
        if (value.isString())
            return value.asString();
        if (value.isArray() || value.isObject())
            return toText(value);
        return value.asString();
    }

    std::string labelsOf(const Json::Value& value)
    {
        if (!value.isObject())
            return "-";
        std::string out;
        for (const auto& name : value.getMemberNames())
            out += (out.empty() ? "" : ",") + name + "=" + textOf(value[name]);
        return out.empty() ? "-" : out;
    }

    // Reads a TOML file of objects; prints all faults.
    bool readFile(const std::string& file, std::vector<config_object>& objects)
    {
        std::ifstream in(file, std::ios::binary);
        if (!in) {
            std::cerr << file << ": can't be opened\n";
            return false;
        }
        const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        auto reading = readObjects(text);
        for (const auto& fault : reading.faults)
            std::cerr << toString(fault, file) << "\n";
        objects = std::move(reading.objects);
        return reading.faults.empty();
    }

    // Prints the result of a change and returns the exit code.
    int printEditResult(const result<api_answer>& answer, output_format format)
    {
        if (!answer)
            return fail(answer.error());
        if (answer->status != statusOk && answer->status != statusAccepted)
            return fail(*answer);
        if (format == output_format::Json) {
            printJson(answer->body);
            return exitOk;
        }
        for (const auto& line : answer->body["warnings"])
            std::cerr << line.asString() << "\n";
        if (answer->body.isMember("pending"))
            std::cout << "in force, not written yet: " << answer->body["pending"].asString() << "\n";
        else if (answer->body["unchanged"].asBool())
            std::cout << "unchanged at revision " << textOf(answer->body["revision"]) << "\n";
        else
            std::cout << "accepted as revision " << textOf(answer->body["revision"]) << "\n";
        return exitOk;
    }

    // Fetches the configuration that the daemon has in force.
    result<config_ptr> fetchConfig(const session& connection)
    {
        const auto answer = get(connection, "/v1/objects");
        if (!answer)
            return tl::unexpected(answer.error());
        if (answer->status != statusOk)
            return failure(error_code::PermissionDenied, "ctl.objects", peer_kind::Instance, connection.server, answer->text);
        config_change change;
        change.to = revision(answer->body["revision"].asUInt64());
        for (const auto& item : answer->body["objects"]) {
            auto object = objectFromEnvelope(item);
            if (!object)
                return tl::unexpected(object.error());
            change.puts.push_back(std::move(*object));
        }
        return successor(config(), change);
    }

    // Waits until all live instances have the revision in force.
    int waitInForce(const session& connection, std::uint64_t wantedRevision, long timeoutSeconds)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(timeoutSeconds);
        for (;;) {
            const auto answer = get(connection, "/v1/status");
            bool allInForce = answer && answer->status == statusOk;
            std::string laggingNames;
            if (allInForce) {
                for (const auto& item : answer->body["instances"]) {
                    if (item["revision"].asUInt64() >= wantedRevision)
                        continue;
                    allInForce = false;
                    laggingNames += " " + item["instance"].asString();
                }
                for (const auto& name : answer->body["silent"]) {
                    allInForce = false;
                    laggingNames += " " + name.asString() + "(silent)";
                }
            }
            if (allInForce) {
                std::cout << "in force on all " << answer->body["instances"].size() << " instances\n";
                return exitOk;
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                std::cerr << "not in force everywhere after " << timeoutSeconds << " s:" << laggingNames << "\n";
                return exitFailure;
            }
            std::this_thread::sleep_for(statusPollInterval);
        }
    }

    Json::Value editBody(const std::vector<config_object>& objects)
    {
        Json::Value body(Json::objectValue);
        body["objects"] = Json::Value(Json::arrayValue);
        for (const auto& object : objects) {
            Json::Value item(Json::objectValue);
            item["kind"] = std::string(toString(kindOf(object)));
            item["object"] = toJson(object);
            body["objects"].append(item);
        }
        return body;
    }

} // namespace

int fail(const error& why)
{
    std::cerr << toString(why) << "\n";
    if (why.code == error_code::Unavailable)
        return exitUnreachable;
    return why.code == error_code::Unknown ? exitUnknown : exitFailure;
}

int fail(const api_answer& answer)
{
    const auto& fault = answer.body["error"];
    if (!answer.body.isObject() || !fault.isObject()) {
        std::cerr << "status " << answer.status << ": " << answer.text << "\n";
        return exitFailure;
    }
    std::cerr << textOf(fault["step"]);
    if (fault.isMember("peer") && fault["peer"].asString() != "self")
        std::cerr << " at " << fault["peer"].asString();
    if (!fault["peer_name"].asString().empty())
        std::cerr << " (" << fault["peer_name"].asString() << ")";
    std::cerr << ": " << textOf(fault["code"]) << ": " << textOf(fault["detail"]) << "\n";
    for (const auto& line : fault["lines"])
        std::cerr << "  " << line.asString() << "\n";
    if (answer.status == statusConflict)
        return exitConflict;
    return fault["code"].asString() == "outcome unknown" ? exitUnknown : exitFailure;
}

int apply(const session& connection, const apply_options& options, output_format format)
{
    std::vector<config_object> objects;
    if (!readFile(options.file, objects))
        return exitUsage;
    auto body = editBody(objects);
    body["summary"] = "apply " + options.file;
    body["dry_run"] = options.dryRun;
    const auto answer = post(connection, "/v1/apply", body);
    const int code = printEditResult(answer, format);
    if (code != exitOk || !options.wait || options.dryRun)
        return code;
    return waitInForce(connection, answer->body["revision"].asUInt64(), options.timeoutSeconds);
}

int diffFile(const session& connection, const std::string& file, output_format format)
{
    std::vector<config_object> objects;
    if (!readFile(file, objects))
        return exitUsage;
    const auto current = fetchConfig(connection);
    if (!current)
        return fail(current.error());
    config_change change;
    change.from = (*current)->at();
    change.to = (*current)->at().next();
    change.puts = objects;
    const auto changed = successor(**current, change);
    Json::Value lines(Json::arrayValue);
    for (const auto& line : diff(**current, *changed))
        lines.append(toString(line));
    if (format == output_format::Json) {
        printJson(lines);
    } else {
        for (const auto& line : lines)
            std::cout << line.asString() << "\n";
    }
    return exitOk;
}

int getObjects(const session& connection, const std::string& kind, const std::string& name, const std::string& selector, output_format format)
{
    std::string path = "/v1/objects?selector=" + encodeQuery(selector);
    if (!kind.empty())
        path += "&kind=" + encodeQuery(kind);
    if (!name.empty())
        path += "&name=" + encodeQuery(name);
    const auto answer = get(connection, path);
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    const auto& objects = answer->body["objects"];
    if (!name.empty() && objects.empty()) {
        std::cerr << "not found: " << kind << "/" << name << "\n";
        return exitFailure;
    }
    if (format == output_format::Json) {
        printJson(answer->body);
        return exitOk;
    }
    std::vector<std::vector<std::string>> rows { { "KIND", "NAME", "LABELS", "REVISION", "BY" } };
    for (const auto& item : objects)
        rows.push_back({ textOf(item["kind"]), textOf(item["object"]["name"]), labelsOf(item["object"]["labels"]), textOf(item["at"]), textOf(item["by"]) });
    std::cout << renderTable(rows);
    return exitOk;
}

int describe(const session& connection, const std::string& kind, const std::string& name)
{
    return getObjects(connection, kind, name, "", output_format::Json);
}

int label(const session& connection, const std::string& kind, const std::string& name, const std::vector<std::string>& changes, output_format format)
{
    const auto parsed = parseObjectKind(kind);
    if (!parsed)
        return fail(parsed.error()), exitUsage;
    const auto current = fetchConfig(connection);
    if (!current)
        return fail(current.error());
    auto object = (*current)->find({ *parsed, name });
    if (!object) {
        std::cerr << "not found: " << kind << "/" << name << "\n";
        return exitFailure;
    }
    auto& labels = metaOf(*object).labels;
    for (const auto& change : changes) {
        const auto equals = change.find('=');
        if (equals != std::string::npos)
            labels[change.substr(0, equals)] = change.substr(equals + 1);
        else if (change.size() > 1 && change.back() == '-')
            labels.erase(change.substr(0, change.size() - 1));
        else {
            std::cerr << change << ": expected KEY=VALUE, or KEY- to remove it\n";
            return exitUsage;
        }
    }
    auto body = editBody({ *object });
    // State the revision that was read, so that a concurrent change causes a conflict.
    body["bases"][toString(refOf(*object))] = Json::UInt64(metaOf(*object).changed.at.value());
    body["summary"] = "label " + kind + "/" + name;
    return printEditResult(post(connection, "/v1/apply", body), format);
}

int deleteObject(const session& connection, const std::string& kind, const std::string& name, output_format format)
{
    const auto parsed = parseObjectKind(kind);
    if (!parsed)
        return fail(parsed.error()), exitUsage;
    Json::Value body(Json::objectValue);
    body["deletes"].append(std::string(toString(*parsed)) + "/" + name);
    body["summary"] = "delete " + kind + "/" + name;
    return printEditResult(post(connection, "/v1/apply", body), format);
}

int grantKey(const session& connection, const std::string& account, const std::vector<std::string>& scopes, output_format format)
{
    Json::Value body(Json::objectValue);
    if (!account.empty())
        body["account"] = account;
    for (const auto& scope : scopes)
        body["scopes"].append(scope);
    const auto answer = post(connection, "/v1/keys/grant", body);
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (format == output_format::Json)
        printJson(answer->body);
    else
        std::cout << "id " << textOf(answer->body["id"]) << "\nkey " << textOf(answer->body["key"]) << "\nIt is shown this once.\n";
    return exitOk;
}

int bootstrapKey()
{
    std::array<unsigned char, keyRandomBytes> random {};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
        std::cerr << "no random bytes available to make the key\n";
        return exitFailure;
    }
    const auto key = makeKey(random);
    if (!key)
        return fail(key.error());
    std::cout << "# The key; it is shown this once.\n# " << key->raw << "\n"
              << "[security]\nbootstrap_operator_digest = \"" << key->object.digest << "\"\n"
              << "bootstrap_operator_salt = \"" << key->object.salt << "\"\n";
    return exitOk;
}

int withdrawKey(const session& connection, const std::string& id, output_format format)
{
    Json::Value body(Json::objectValue);
    body["id"] = id;
    return printEditResult(post(connection, "/v1/keys/withdraw", body), format);
}

int history(const session& connection, long limit, output_format format)
{
    return list(connection, "/v1/history?limit=" + std::to_string(limit), "history", { "number", "revision", "who", "summary", "puts", "deletes" }, format);
}

int rollback(const session& connection, long to, output_format format)
{
    Json::Value body(Json::objectValue);
    body["to"] = Json::UInt64(static_cast<std::uint64_t>(to));
    return printEditResult(post(connection, "/v1/rollback", body), format);
}

int explain(const session& connection, const std::string& kind, const std::string& subject, output_format format)
{
    const auto answer = get(connection, "/v1/explain?kind=" + encodeQuery(kind) + "&subject=" + encodeQuery(subject));
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (format == output_format::Json) {
        printJson(answer->body);
        return exitOk;
    }
    std::vector<std::vector<std::string>> rows { { "TIME_MS", "INSTANCE", "DUTY", "DECISION", "REASON", "FACTS" } };
    for (const auto& entry : answer->body["entries"])
        rows.push_back({ textOf(entry["at_ms"]), textOf(entry["instance"]), textOf(entry["duty"]), textOf(entry["decision"]), textOf(entry["reason"]), labelsOf(entry["facts"]) });
    std::cout << renderTable(rows);
    return rows.size() > 1 ? exitOk : exitFailure;
}

int burn(const session& connection, const std::string& htmlFile, output_format format)
{
    const std::string reportFormat = !htmlFile.empty() ? "html" : format == output_format::Json ? "json"
                                                                                                : "table";
    const auto answer = get(connection, "/v1/burn?format=" + reportFormat);
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (htmlFile.empty()) {
        std::cout << answer->text;
        return exitOk;
    }
    std::ofstream out(htmlFile, std::ios::binary);
    out << answer->text;
    out.close();
    if (!out) {
        std::cerr << htmlFile << ": can't be written\n";
        return exitFailure;
    }
    std::cout << "written to " << htmlFile << "\n";
    return exitOk;
}

int setLogLevel(const session& connection, const std::string& level, output_format format)
{
    Json::Value body(Json::objectValue);
    body["level"] = level;
    const auto answer = post(connection, "/v1/log", body);
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (format == output_format::Json)
        printJson(answer->body);
    else
        std::cout << "log level " << level << "\n";
    return exitOk;
}

int drain(const session& connection, output_format format)
{
    const auto answer = post(connection, "/v1/drain", Json::Value(Json::objectValue));
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (format == output_format::Json)
        printJson(answer->body);
    else
        std::cout << "draining " << textOf(answer->body["instance"]) << "\n";
    return exitOk;
}

int list(const session& connection, const std::string& path, const std::string& member, const std::vector<std::string>& columns, output_format format)
{
    const auto answer = get(connection, path);
    if (!answer)
        return fail(answer.error());
    if (answer->status != statusOk)
        return fail(*answer);
    if (format == output_format::Json) {
        printJson(answer->body);
        return exitOk;
    }
    std::vector<std::vector<std::string>> rows(1);
    for (const auto& column : columns) {
        std::string heading = column;
        std::transform(heading.begin(), heading.end(), heading.begin(), [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
        rows[0].push_back(heading);
    }
    for (const auto& item : answer->body[member]) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const auto& column : columns)
            row.push_back(textOf(item[column]));
        rows.push_back(std::move(row));
    }
    std::cout << renderTable(rows);
    for (const auto& name : answer->body["silent"])
        std::cerr << "no answer from " << name.asString() << "\n";
    return exitOk;
}

} // namespace lovagerail::ctl
