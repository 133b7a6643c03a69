// The verbs of lovagectl. Each prints its result and returns the exit code.
#pragma once

#include "ctl/session.h"

#include <string>
#include <vector>

namespace lovagerail::ctl {

constexpr int exitOk = 0;
constexpr int exitFailure = 1; // refused by the daemon, or a check failed
constexpr int exitUsage = 2; // bad input
constexpr int exitUnreachable = 3; // the daemon can't be reached; nothing happened
constexpr int exitUnknown = 4; // the answer was lost: it may or may not have taken effect
constexpr int exitConflict = 5; // others changed the same objects

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

int apply(const session& with, const apply_options& options, output_format format);
int diffFile(const session& with, const std::string& file, output_format format);
int getObjects(const session& with, const std::string& kind, const std::string& name, const std::string& selector, output_format format);
int describe(const session& with, const std::string& kind, const std::string& name);
int label(const session& with, const std::string& kind, const std::string& name, const std::vector<std::string>& changes, output_format format);
int deleteObject(const session& with, const std::string& kind, const std::string& name, output_format format);
int grantKey(const session& with, const std::string& account, const std::vector<std::string>& scopes, output_format format);
// Makes the first operator's key and the settings that let it in; asks no daemon.
int bootstrapKey();
int withdrawKey(const session& with, const std::string& id, output_format format);
int history(const session& with, long limit, output_format format);
int rollback(const session& with, long to, output_format format);
int explain(const session& with, const std::string& kind, const std::string& subject, output_format format);
int burn(const session& with, const std::string& htmlFile, output_format format);
int setLogLevel(const session& with, const std::string& level, output_format format);
int drain(const session& with, output_format format);
// Prints a list that a call answers, e.g. ("/v1/targets", "targets").
int list(const session& with, const std::string& path, const std::string& member, const std::vector<std::string>& columns, output_format format);

// Prints an error answer and tells the exit code for it.
int fail(const error& why);
int fail(const api_answer& answer);

} // namespace lovagerail::ctl
