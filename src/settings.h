// The daemon's settings, read from TOML. Checks the whole file and reports all errors at once.
#pragma once

#include "settings_fault.h"
#include "types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

struct instance_settings {
    std::string name;
    std::string failureDomain;
    std::string region;
    std::string dataFolder; // empty: nothing is kept on disk
};

struct listen_settings {
    std::string callers; // IP:port
    std::string operators; // IP:port, also metrics and health
    std::string instances; // IP:port
    std::string certificateFile; // PEM; with keyFile turns TLS on for callers and operators
    std::string keyFile;
};

struct platform_settings {
    std::vector<std::string> keyValue; // base URLs, tried in turn
    std::string platform; // base URL of the platform's API: instance list, targets, orders and usage
    std::string weights; // base URL of the weight store
    std::int64_t keyValueCallsPerSecond = 20; // this daemon's share of the service's rate limit
};

struct security_settings {
    std::string instanceSecretFile; // secret shared by all instances; authenticates messages between them
    std::string bootstrapOperatorDigest; // salted digest of the first operator key
    std::string bootstrapOperatorSalt;
};

struct limit_settings {
    std::int64_t connections = 4096;
    std::int64_t bodyBytes = 1 << 20;
    std::int64_t headerBytes = 32 * 1024;
    std::int64_t unreadBytes = 256 * 1024;
    std::int64_t queuedRequests = 4096;
    std::chrono::milliseconds requestTimeout { 120'000 };
    std::chrono::milliseconds targetSilence { 10'000 };
};

struct timing_settings {
    std::chrono::milliseconds heartbeat { 1000 };
    std::chrono::milliseconds lease { 5000 };
    std::chrono::milliseconds drain { 30'000 };
    std::chrono::milliseconds loadReports { 500 };
    std::chrono::milliseconds targetList { 1000 };
    std::chrono::milliseconds usageWindow { 60'000 };
    std::chrono::milliseconds usageGrace { 5000 };
    std::chrono::milliseconds capacityIdle { 600'000 }; // a target is stopped after demand was lower for this long
    std::chrono::milliseconds cutOff { 10'000 }; // after this long without key-value service and peers, requests with keys are refused
};

struct log_settings {
    std::string level = "info"; // debug, info, warning, error
};

struct trace_settings {
    std::string file; // empty: traffic is not recorded
    std::int64_t bytes = 16 << 20;
};

struct settings {
    instance_settings instance;
    listen_settings listen;
    platform_settings platform;
    security_settings security;
    limit_settings limits;
    timing_settings timing;
    log_settings log;
    trace_settings trace;
};

using settings_reading = reading_of<settings>;

// Reads and checks TOML text; `file` is only used in messages.
settings_reading readSettings(std::string_view text, const std::string& file);
settings_reading readSettingsFile(const std::string& file);

} // namespace lovagerail
