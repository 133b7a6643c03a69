// Runs the batches that this instance owns and forwards calls about the others to their
// owners. Handles submission, reads and ends of batches by trainers, persistence in the
// metadata store, take-over of batches whose owner is gone, and hand-over at shutdown.
//
// Writes to a batch are fenced by the store revision of its head record: every change of
// owner, and the end of the batch, rewrites the head, and each page of results is written
// on condition that the head still has the revision that the owner knows.
#pragma once

#include "batch_life.h"
#include "batch_runner.h"
#include "demand_codec.h"
#include "edge/caller_frontend.h"
#include "edge/members.h"
#include "edge/target_limits.h"
#include "edge/target_link.h"
#include "http/server.h"
#include "open_write.h"
#include "platform/batch_codec.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerail::edge {

namespace detail {

    // Calls retry() with the elements whose `retryAt` has come, and keeps the others. It may add elements.
    template <typename pending, typename function>
    void retryDue(std::vector<pending>& elements, instant now, function retry)
    {
        for (auto& element : std::exchange(elements, {})) {
            if (now >= element.retryAt)
                retry(std::move(element));
            else
                elements.push_back(std::move(element));
        }
    }

} // namespace detail

// Call to another instance: heads of batches that it has to take over.
inline constexpr std::string_view orphansPath = "/orphans";

class batches {
public:
    batches(context& shared, target_link& link, members& membership, caller_frontend& calls, target_limits& limits);

    // Requests of callers that have been authenticated.
    struct submit_options {
        std::optional<std::chrono::milliseconds> deadline; // as given by the caller
        bool mayForward = true; // to the preferred owner of this route's batches
    };
    void onSubmit(const http::exchange_ptr& exchange, batch_head head, submit_options options);
    // Whether this instance owns the batch or knows its owner.
    bool isKnown(const batch_id& id) const { return m_owned.contains(id) || m_foreignHeads.contains(id); }
    void onBatchCall(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait);
    // Requests of other instances; returns false if the path is not handled here.
    bool onPeerRequest(const http::exchange_ptr& exchange);

    void tick();
    // Starts the hand-over of all batches to other instances; call tick() until allHandedOver().
    void beginStop();
    bool allHandedOver() const;
    const batch_run_counts& counts() const { return m_runner.counts(); }
    std::vector<model_demand> demand() const { return m_runner.demand(m_context.now); }
    void setShares(std::uint64_t request, const granted_shares& granted, instant sentAt) { m_runner.setShares(request, granted.shares, sentAt + granted.validity); }
    std::size_t openCount() const;

private:
    // A batch that this instance owns; its items are in m_runner.
    struct owned_batch {
        std::uint64_t ownership = 0; // tells it from an earlier or later one of the same batch, to which late answers may belong
        batch_head head;
        bool accepted = true; // false: its submission is pending, and callers can't see the batch
        bool mayHaveStoredTexts = false; // the store may hold a record of partial texts, to delete at the end
        revision headRevision; // store revision of the head; fences all writes
        bool endWritePending = false; // a write of the ended head is in flight
        std::vector<http::exchange_ptr> endWaiters;
        instant endRetryAt {};
        instant endGiveUpAt {};
        http::memory_claim memory {}; // of its items
        std::optional<wall_time> endedAt {}; // when the end was written

        stored_head stored() const { return { head, headRevision }; }
    };
    // A submission whose write is not settled. Once its callers are answered it has no waiters any more.
    // No batch is pending and being taken over at once: what is taken over is in the store, so it was accepted.
    struct pending_submit {
        batch_head head;
        std::vector<http::exchange_ptr> waiters;
        std::string body;
        http::memory_claim memory; // of the batch, until it is owned or refused
        bool outcomeUnknown = false; // some write attempt ended without a known outcome
        bool writePending = false;
        instant retryAt {};
        instant giveUpAt {};
    };
    struct waiting_read {
        http::exchange_ptr exchange;
        batch_id batch;
        std::size_t after = 0;
        instant until {};
    };
    struct run_transfer {
        std::uint64_t transfer = 0;
        target_id target;
        incarnation targetIncarnation;
        instant sentAt {};
        item_id item;
        platform::event_reader reader;
        platform::target_head head;
    };
    using head_function = std::function<void(const batch_head&, revision)>;

    // Submission.
    bool isAbandoned(const pending_submit& submit) const;
    void runBeforeAcceptance(const pending_submit& submit);
    void markAccepted(const pending_submit& submit, revision headRevision);
    void writeSubmit(const batch_id& id);
    void onSubmitWritten(const batch_id& id, const result<kv_answer>& answer);
    void continueSubmit(const batch_id& id);
    void finishSubmit(const batch_id& id, int status);
    bool hasRoomToParse(const http::exchange_ptr& exchange, const batch_head& head, http::memory_claim& parsing) const;
    void refuseForWantOfRoom(const http::exchange_ptr& exchange, const batch_head& head, std::string_view what) const;
    std::optional<batch_route> routeInForce(const batch_head& head) const;
    // Where its items may run by the configuration in force; empty if its head names no route and it has been removed.
    std::optional<item_places> placesOf(const batch_head& head) const;
    void placeBatch(const batch_head& head);
    void placeItemsInForce();
    // Whether this instance owns the batch, and its head in the store says so.
    bool ownsAccepted(const batch_id& id) const;
    // The batch, if it is still owned as it was when a call was made; else null.
    owned_batch* findOwned(const batch_id& id, std::uint64_t ownership);
    bool takeOwnership(const batch_head& head, revision headRevision, std::string_view body, std::vector<batch_result> listed, std::uint32_t pages);
    const member* preferredOwner(const batch_head& head) const;
    void forwardSubmit(const http::exchange_ptr& exchange, const batch_head& head, const member& owner, submit_options options);

    // Calls about a batch.
    void answerOwned(const http::exchange_ptr& exchange, const platform::batch_call& call, std::chrono::milliseconds wait);
    void answerReads();
    void forwardToOwner(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait, const batch_head& head, revision headRevision);
    void answerFromStore(const http::exchange_ptr& exchange, const platform::batch_call& call, const batch_head& head, revision headRevision);
    void readHead(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead);
    const member* directoryMember(const batch_id& id) const;
    void sendOwnerHint(const batch_head& head, revision headRevision);
    void findHead(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead);
    void respond(const http::exchange_ptr& exchange, int status, std::string_view body) const;
    bool isAlive(const batch_head& head) const;
    // Where the submission and the items of the batch may be.
    body_regions regionsOf(const batch_head& head) const;
    bool hasAllowedTarget(const batch_head& head) const;

    // Ending a batch.
    void requestEnd(const batch_id& id, const http::exchange_ptr& exchange);
    void writeEnd(const batch_id& id);
    // An end that this instance writes for a batch that it doesn't run.
    struct foreign_end {
        http::exchange_ptr exchange;
        batch_head head; // ended
        guarded_write write;
        instant giveUpAt {};
        instant retryAt {};
    };
    void endForeign(const http::exchange_ptr& exchange, batch_head head, revision headRevision);
    void writeForeignEnd(foreign_end end);
    void onEndedElsewhere(const batch_head& head);
    // News of a head for an instance that owns the batch, or that did before a take-over.
    struct owner_notice {
        stored_head news;
        batch_owner to;
        instant retryUntil {};
        instant retryAt {};
    };
    void notifyOwnerOfEnd(const batch_head& head, revision headRevision);
    void notifyOwner(owner_notice notice);
    void answerOwnerNotice(const http::exchange_ptr& exchange);
    void rememberForeignHead(const stored_head& known);

    // Ownership.
    void adoptOrphans();
    using heads_function = std::function<void(const result<std::vector<kv_entry>>&)>;
    // Whether this instance would take the batch over if its owner were gone for good.
    bool isAdopterOf(const batch_head& head) const;
    void scanHeads();
    void requestHeads(heads_function onHeads);
    void collectHeads(heads_function onHeads);
    void readCollectedHeads();
    void answerHeadsRequest(const http::exchange_ptr& exchange);
    void dropLostBatches(const std::vector<kv_entry>& heads);
    void recordOrphan(const batch_head& head, revision headRevision);
    void adoptOrphan(const batch_id& id);
    // Batches by the instance to which they are passed on.
    using orphans_by_adopter = std::map<instance_id, std::vector<batch_id>>;
    void passOnOrphans(const instance_id& adopter, const std::vector<batch_id>& ids);
    void answerOrphans(const http::exchange_ptr& exchange);
    using adoption_function = std::function<void(bool)>;
    void adopt(const batch_head& head, revision headRevision, adoption_function onDone);
    void continueAdoption(const batch_id& id);
    void continueAdoptions();
    void writeAdoptedHead(const batch_id& id);
    void readAdoptedBody(const batch_id& id);
    void readAdoptedPages(const batch_id& id, const std::string& body);
    void retryAdoption(const batch_id& id, const error& reason);
    bool takeAdopted(const batch_id& id, const std::string& body, const std::vector<kv_entry>& entries);
    void finishAdoption(const batch_id& id, bool adopted);
    void onOwnershipLost(const batch_id& id, const char* reason);
    void handOver(const batch_id& id);
    void answerHandOver(const http::exchange_ptr& exchange);
    void holdItemsInDoubt();
    batch_owner self() const { return { instance_id(m_context.settings.instance.name), m_context.ownIncarnation }; }
    retention kept() const { return { m_context.settings.bounds.resultsKept, m_context.settings.bounds.openBatchesKept }; }

    // Deletion of records.
    struct record_deletion {
        batch_id id;
        revision headRevision; // fences it
        std::vector<std::string> keys; // beside head and submission, which are deleted last
        instant retryAt {};
    };
    // A batch whose head names no live owner and that is to be deleted.
    struct unowned_records {
        batch_head head;
        wall_time since {}; // when this instance learnt of it
    };
    void expire();
    void expireOwned();
    void recordUnowned(const batch_head& head);
    void deleteUnowned();
    void readUnowned(const batch_id& id);
    void deleteRecords(record_deletion deletion);

    // Actions of the runner.
    void execute(std::vector<batch_action> actions);
    void startRun(const run_item& action);
    void onRunEvent(attempt_id attempt, http::event& event);
    void breakOffRun(attempt_id attempt);
    void callJudge(const judge_item& action);
    void writePage(const write_page& action);
    void saveTexts(const save_texts& action);

    context& m_context;
    target_link& m_link;
    members& m_members;
    caller_frontend& m_frontend;
    target_limits& m_limits;
    batch_runner m_runner;
    std::map<batch_id, owned_batch> m_owned; // the same batches as in m_runner
    std::uint64_t m_lastOwnership = 0;
    site_ptr m_placedBy; // the configuration by which the items of m_owned are placed
    std::map<batch_id, pending_submit> m_pendingSubmits;
    struct forwarded_submit {
        http::exchange_ptr exchange;
        std::uint64_t transfer = 0;
    };
    std::vector<forwarded_submit> m_forwardedSubmits; // to other instances, not answered yet
    std::vector<foreign_end> m_foreignEnds; // to be written again
    std::vector<owner_notice> m_ownerNotices; // that did not get through yet
    std::vector<waiting_read> m_reads;
    std::map<attempt_id, run_transfer> m_runs;
    struct foreign_head {
        stored_head known;
        instant usedAt {};
    };
    std::map<batch_id, foreign_head> m_foreignHeads; // batches of other owners, as last read or reported
    // A batch without a live owner: taken over after a grace period, or passed on to who does that.
    struct orphan_batch {
        stored_head known;
        instant since {}; // when it was found
        instant passOnAt {}; // not before, after an attempt to pass it on
    };
    std::map<batch_id, orphan_batch> m_orphans;
    // A take-over of a batch; the batch is in m_owned once it is finished.
    struct take_over {
        std::uint64_t number = 0; // tells it from a later one of the same batch
        batch_head head; // names this instance as the owner
        batch_owner former; // by the head before
        guarded_write write;
        revision headRevision; // 0: the write of the head is open
        bool calling = false; // a call to the store is in flight
        instant retryAt {};
        adoption_function onDone;
    };
    std::map<batch_id, take_over> m_adoptions; // none of them in m_owned or m_pendingSubmits
    std::uint64_t m_lastAdoption = 0;
    std::vector<heads_function> m_headsWaiting; // requests for all heads that the next read answers
    bool m_readingHeads = false;
    instant m_readHeadsAt {};
    bool m_scanning = false;
    bool m_scanDone = false;
    // Returns to the members, and those after which the owned batches were compared with the store.
    std::uint64_t m_joins = 0;
    std::uint64_t m_checkedJoins = 0;
    std::optional<instant> m_doubtfulSince; // other instances may have taken over what this one owns
    instant m_scanRetryAt {};
    instant m_nextExpiry {};
    std::map<batch_id, unowned_records> m_unowned; // none of them in m_orphans
    std::vector<record_deletion> m_deletions; // to be tried again
    bool m_stopping = false;
    std::size_t m_openHandOvers = 0; // not answered yet
};

} // namespace lovagerail::edge
