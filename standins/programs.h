// The subcommands of lovage-standin; each runs until SIGTERM or, for the
// clients, until its work is done, and returns the exit code.
#pragma once

#include <cstdint>
#include <docopt/docopt.h>
#include <map>
#include <string>
#include <vector>

namespace lovagerail::standin {

using arguments = std::map<std::string, docopt::value>;

int runKeyValue(const arguments& given);
int runEngines(const arguments& given);
int runServices(const arguments& given);
int runJudge(const arguments& given);
int runWeights(const arguments& given);
int runPlatform(const arguments& given);
int runTrainer(const arguments& given);
int runLoad(const arguments& given);

// The value of a flag; defaults are stated in the usage text.
std::string textOf(const arguments& given, const std::string& flag);
long numberOf(const arguments& given, const std::string& flag);
double realOf(const arguments& given, const std::string& flag);
bool isSet(const arguments& given, const std::string& flag);
// A list with commas.
std::vector<std::string> listOf(const arguments& given, const std::string& flag);

} // namespace lovagerail::standin
