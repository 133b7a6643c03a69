// The software versions that targets of each pool ran lately, to tell where a stream of unknown
// origin began: a stream goes on only at the version that began it, so without a record of its
// origin it may go on only where no other version served while it may have begun.
//
// The history comes from lists of targets that the store confirmed, and, for the time before this
// instance followed them, from the record that the instances keep in the store. A gap between two
// confirmations, as after a pause or a partition, may hide versions that came and went; the record
// is then needed again.
//
// Load pattern: all instances are killed at once during a release. Performs no I/O.
#pragma once

#include "target_table.h"
#include "types.h"

#include <map>
#include <optional>
#include <set>

namespace lovagerail {

struct software_history_settings {
    duration retention = std::chrono::minutes(2); // longer than callers wait for a stream
    duration maxGap = std::chrono::seconds(5); // between two confirmations
};

class software_history {
public:
    explicit software_history(software_history_settings settings = {});

    // The software of all listed targets, live or leaving, in a list that was current at
    // `provenAt` or later.
    void observe(const std::set<target_software>& listed, instant provenAt, instant now);
    // What the record in the store says. It was read at `now`.
    void restore(const std::set<target_software>& recorded, instant now);

    // Whether all versions of the last retention time are known.
    bool isComplete(instant now) const;
    std::set<target_software> lately(instant now) const;

    enum class verdict {
        Found,
        Unproven, // the list was not confirmed since `since`
        Incomplete, // the record has to be read
        Ambiguous, // no version or several
    };
    struct answer {
        verdict is = verdict::Unproven;
        target_software software {}; // if Found
    };
    // The software that began each stream of these pools that broke off before `since`.
    answer onlySoftware(const std::set<pool_id>& pools, instant since, instant now) const;

private:
    software_history_settings m_settings;
    std::map<target_software, instant> m_lastSeen;
    std::optional<instant> m_provenAt; // the newest; empty before the first list
    instant m_followedSince {}; // without a gap, if m_provenAt is set
    bool m_restored = false; // since m_followedSince
};

} // namespace lovagerail
