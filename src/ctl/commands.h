// The commands of lovagectl. Each prints its result and returns the exit code.
#pragma once

#include "ctl/session.h"

#include <string>
#include <vector>

namespace lovagerail::ctl {

constexpr int exitOk = 0;
constexpr int exitFailure = 1; // refused by the daemon, or a check failed
constexpr int exitUsage = 2; // bad input
constexpr int exitUnreachable = 3; // the daemon can't be reached; nothing was changed
constexpr int exitUnknown = 4; // no answer: the change may or may not have taken effect
constexpr int exitConflict = 5; // another operator changed the same objects

enum class output_format {
    Table,
    Json,
};

struct apply_options {
    std::string file;
    bool dryRun = false;
    bool wait = false; // until all live instances have it in force
    long timeoutSeconds = 30;
};

int apply(const session& connection, const apply_options& options, output_format format);
int diffFile(const session& connection, const std::string& file, output_format format);
int getObjects(const session& connection, const std::string& kind, const std::string& name, const std::string& selector, output_format format);
int describe(const session& connection, const std::string& kind, const std::string& name);
int label(const session& connection, const std::string& kind, const std::string& name, const std::vector<std::string>& changes, output_format format);
int deleteObject(const session& connection, const std::string& kind, const std::string& name, output_format format);
int grantKey(const session& connection, const std::string& account, const std::vector<std::string>& scopes, output_format format);
// Makes the key of the first operator and the settings that accept it; needs no daemon.
int bootstrapKey();
int withdrawKey(const session& connection, const std::string& id, output_format format);
int history(const session& connection, long limit, output_format format);
int rollback(const session& connection, long to, output_format format);
int explain(const session& connection, const std::string& kind, const std::string& subject, output_format format);
int burn(const session& connection, const std::string& htmlFile, output_format format);
int setLogLevel(const session& connection, const std::string& level, output_format format);
int drain(const session& connection, output_format format);
// Prints the list `member` in the answer of a GET of `path`, e.g. ("/v1/targets", "targets").
int list(const session& connection, const std::string& path, const std::string& member, const std::vector<std::string>& columns, output_format format);

// Prints an error and returns the exit code for it.
int fail(const error& why);
int fail(const api_answer& answer);

} // namespace lovagerail::ctl
