// Settings of an entry instance on the users' platform, from the template that the
// platform fills in.
#pragma once

#include "settings_fault.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::edge {

struct entry_settings {
    struct {
        std::string name;
        std::string failureDomain;
        std::string region;
    } instance;
    struct {
        std::string callers; // IP:port; empty on an instance that takes no callers
        std::string readiness; // IP:port
        std::string instances; // IP:port, for our other instances
        std::string metrics; // IP:port
        std::vector<std::string> seeds; // other instances, perhaps stale
    } listen;
    struct {
        std::string address; // IP:port of the metadata store
    } store;
    struct {
        std::string address; // IP:port of the platform's interface for duties
        std::chrono::milliseconds usageWindow { 5000 };
        std::chrono::milliseconds usageLate { 10'000 }; // a window's report is due so long after its end
    } duties;
    struct {
        std::chrono::milliseconds drain { 2000 }; // a leaving target gets nothing new so long after the store knows
        std::chrono::milliseconds stop { 8000 }; // from SIGTERM to SIGKILL
        std::chrono::milliseconds resultsKept { 120'000 }; // after a batch's submission
    } bounds;
    struct {
        std::string level = "info";
    } log;
};

using entry_reading = reading_of<entry_settings>;

entry_reading readEntrySettings(std::string_view text, const std::string& file);
entry_reading readEntrySettingsFile(const std::string& file);

} // namespace lovagerail::edge
