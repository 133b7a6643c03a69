// lovagectl check: checks a configuration file before it is sent. Needs no daemon.
#pragma once

#include "ctl/commands.h"

#include <string>

namespace lovagerail::ctl {

constexpr int exitFindings = 1;
constexpr int exitUnreadable = 2;

// Checks the file, which holds the platform's document (JSON) or objects (TOML), and prints the
// findings; with a second file of the same kind also the differences from it. Returns exitOk,
// exitFindings, or exitUnreadable if a file can't be read.
int checkFile(const std::string& file, const std::string& against, output_format format);

} // namespace lovagerail::ctl
