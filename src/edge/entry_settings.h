// Settings of an entry instance: a TOML file that the platform generates from the template
// platform/settings.toml.
#pragma once

#include "settings_fault.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::edge {

struct entry_settings {
    struct {
        std::string name;
        std::string failureDomain;
        std::string region;
        std::string address; // IP of its outgoing connections; empty: the system chooses
    } instance;
    struct {
        std::string callers; // IP:port; empty on an instance that serves no callers
        std::string readiness; // IP:port
        std::string instances; // IP:port, for requests of other instances
        std::string metrics; // IP:port
        std::vector<std::string> seeds; // addresses of other instances, possibly stale
    } listen;
    struct {
        std::string address; // IP:port of the metadata store
        std::int64_t maxValueBytes = 1 << 20; // of one of its values
    } store;
    struct {
        std::string address; // IP:port of the platform's API for usage reports and capacity orders
        std::chrono::milliseconds usageWindow { 5000 };
        std::chrono::milliseconds usageLate { 10'000 }; // the report of a window is due this long after its end
        // Where receivers don't check fencing numbers: holders A, B and A again never act within this
        // time, and a new holder waits until the calls of the one before have ended. Else 0.
        std::chrono::milliseconds turnTime { 0 };
    } duties;
    struct {
        std::chrono::milliseconds configuration { 2000 }; // a configuration is in force everywhere this long after the store has accepted it
        std::chrono::milliseconds drain { 2000 }; // a target gets no new requests this long after the store lists it as leaving
        std::chrono::milliseconds stop { 8000 }; // from SIGTERM to SIGKILL
        std::chrono::milliseconds resultsKept { 120'000 }; // retention of results, from a batch's submission
        std::chrono::milliseconds openBatchesKept { 3'600'000 }; // of batches that nobody ends, after the last time that their route gives their results and items
        // A failure domain gets no new requests this long after the store has accepted its
        // evacuation. 0: the deployment has no evacuations, and the store is not read for them.
        std::chrono::milliseconds evacuation { 0 };
        // A cold target gets at most its service's rate times `coldOvershoot` plus `coldSlack`
        // requests in any second. 0: the deployment has no limits of cold targets.
        double coldOvershoot = 0;
        double coldSlack = 0; // requests
    } bounds;
    struct {
        std::map<std::string, std::string> regions; // region of each failure domain
    } placement;
    // Region of the failure domain; empty if it is not known.
    std::string regionOf(const std::string& domain) const
    {
        const auto found = placement.regions.find(domain);
        return found != placement.regions.end() ? found->second : domain == instance.failureDomain ? instance.region
                                                                                                   : std::string();
    }

    struct {
        // What a new connection to a target costs; 0: targets with a kept connection are not preferred.
        std::chrono::milliseconds connectionCost { 0 };
    } targets;
    struct {
        // Limit on the work of second attempts, in hundredths of a percent of a pool's work; 0: none are
        // made. Empty: hedging after fixed delays out of a budget of successes.
        std::optional<std::int64_t> extraWork;
    } hedging;
    struct {
        // What this process may use; 0: what the system states of the machine. What clients send and hold open is
        // bounded by it.
        double memoryMb = 0; // 10^6 bytes
        std::int64_t descriptors = 0;
    } machine;
    struct {
        std::string level = "info";
    } log;
};

using entry_reading = reading_of<entry_settings>;

// The limit on extra work as a share; empty if it is not set.
std::optional<double> extraWorkShare(const entry_settings& settings);

entry_reading readEntrySettings(std::string_view text, const std::string& file);
entry_reading readEntrySettingsFile(const std::string& file);

} // namespace lovagerail::edge
