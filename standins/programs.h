// The subcommands of lovage-standin. Each returns its exit code; servers run until
// SIGTERM, clients until their work is done.
#pragma once

#include <cstdint>
#include <docopt/docopt.h>
#include <map>
#include <string>
#include <vector>

namespace lovagerail::standin {

using arguments = std::map<std::string, docopt::value>;

int runKeyValue(const arguments& args);
int runEngines(const arguments& args);
int runServices(const arguments& args);
int runJudge(const arguments& args);
int runWeights(const arguments& args);
int runPlatform(const arguments& args);
int runTrainer(const arguments& args);
int runLoad(const arguments& args);

// Values of flags; the defaults are in the usage text in main.cpp.
std::string textOf(const arguments& args, const std::string& flag);
long numberOf(const arguments& args, const std::string& flag);
double realOf(const arguments& args, const std::string& flag);
bool isSet(const arguments& args, const std::string& flag);
// A comma-separated list.
std::vector<std::string> listOf(const arguments& args, const std::string& flag);

} // namespace lovagerail::standin
