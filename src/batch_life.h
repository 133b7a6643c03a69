// Decisions about batches that depend on who owns them, how old they are and what configuration is in force:
// take-over, hand-over, loss of ownership, deletion, and where items may run.
//
// Each one is a pure function of a batch's record as read, of who asks and of the time, and has its only
// home here. Callers read the record, ask, and act under the record's revision; a call that is handled
// late, twice or never so changes nothing that its sender did not see.
#pragma once

#include "batch.h"

#include <optional>
#include <vector>

namespace lovagerail {

// A head with the revision that the store gave it. Each change of the owner, and the end, rewrites the
// head, so revisions put them in order.
struct stored_head {
    batch_head head;
    revision headRevision; // 0: reported by an instance that doesn't state it
};

// An owner of batches in one incarnation.
struct batch_owner {
    instance_id name;
    incarnation life;

    friend bool operator==(const batch_owner&, const batch_owner&) = default;
};
inline batch_owner ownerOf(const batch_head& head) { return { head.owner, head.ownerIncarnation }; }

// --- Take-over ----------------------------------------------------------------

// How long after a batch lost its owner this instance takes it over; empty if it does not. After
// a restart an instance takes its own batches at once. Those of others go to the first members
// by rendezvous hashing, each later one only if the batch is still without an owner then: a
// member may be cut off from the store before others see that it is gone.
std::optional<duration> adoptionDelay(const instance_id& owner, const instance_id& self, std::vector<instance_id> members);

// What an instance does about a batch that it found without a live owner.
struct orphan_plan {
    enum class step {
        Adopt,
        PassOn, // to `to`, which takes the batch over
        Wait, // no member may run it
    };
    step next = step::Wait;
    duration after {}; // from finding the batch until the step
    instance_id to {};
};
// `members`: those that may run the batch. An instance that has returned under its name takes its
// batches itself, but it looks for them only once, and the head may have been written since then.
// Without it, an instance that is no adopter passes the batch on to the first one.
orphan_plan planOrphan(const instance_id& owner, const instance_id& self, const std::vector<instance_id>& members);

// --- Hand-over ----------------------------------------------------------------

// A batch that its owner gives away, as the owner had it on record then.
struct hand_over {
    batch_owner from;
    revision headRevision;
};
enum class hand_over_step {
    TakeOver,
    AlreadyOwned, // by the instance that it was offered to: the call came twice
    Refuse, // the batch has ended or has another owner by now, or the call doesn't state what was given away
};
std::string_view toString(hand_over_step step);
// What `self`, to which the batch was offered, does about the head that it reads. The call may be
// handled long after its sender gave up on it.
hand_over_step planHandOver(const hand_over& offered, const batch_owner& self, const stored_head& read);

// --- Loss of ownership --------------------------------------------------------

enum class owner_news {
    None, // nothing that the owner doesn't know
    Ended, // by another instance
    TakenOver,
};
// What a head, as read or reported, says to an instance that owns the batch by the head that it holds.
owner_news judgeOwnership(const stored_head& held, const stored_head& read);

// What an owner knows of its own standing.
struct owner_standing {
    bool isMember = false; // by its lease, so that others count it as alive
    bool isRechecking = false; // its batches are compared with the store, after a time without membership
    duration storeAway {}; // for so long the store has not answered
    duration doubtful {}; // for so long it could have checked its batches, and has not
};
// Whether the owner may send items. One that was suspended or cut off may have lost its batches to others.
// While the store is away, items go on: an outage must not delay them, and nobody takes over then.
bool mayBeginItems(const owner_standing& standing);
// Whether the owner can't check its batches now.
bool isStoreAway(const owner_standing& standing);

// --- Deletion -----------------------------------------------------------------

struct retention {
    std::chrono::milliseconds results; // from the submission
    std::chrono::milliseconds openBatches; // of batches that nobody ends, from the last time that their route gives
};
// Until when the records of a batch are kept. An open one is kept at any age at which its items may run or its
// trainer may wait; the limit is for trainers that are gone. `endLearnt`: when the one who asks learnt of the end.
wall_time keptUntil(const batch_head& head, const retention& kept, std::optional<wall_time> endLearnt);
// What an instance does about a head that it found without a live owner.
enum class unowned_step {
    FindOwner, // its items are to be run; see planOrphan()
    Delete, // once it is not kept any longer
};
unowned_step planUnowned(const batch_head& head, const retention& kept, wall_time now);
// Whether `self` is the one that deletes the records of a batch without a live owner.
bool deletesRecords(const instance_id& owner, const instance_id& self, const std::vector<instance_id>& members);

// --- Place --------------------------------------------------------------------

// Where the items of a batch may run: both by what was decided at its acceptance and by any configuration since.
struct item_places {
    std::vector<service_id> services; // that items are sent to; not empty
    std::vector<service_id> otherServices; // for texts that were begun there, and while the others have no target that may run the items
    region_list regions;
    double tokensPerEvent = 1; // of the first service's streams

    friend bool operator==(const item_places&, const item_places&) = default;
};
// `inForce`: what the configuration in force says of the batch; empty if it has no such route. `accountRegions`: where it
// lets the batch's account run anything.
item_places placeItems(const batch_route& decided, const std::optional<batch_route>& inForce, const region_list& accountRegions);

} // namespace lovagerail
