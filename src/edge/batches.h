// Batches of this instance, and the way to those of others: the store's writes, calls
// of trainers, take-over of batches whose owner is gone, and hand-over when we stop.
//
// Who may write a batch is fenced by the revision of its head in the store: each
// change of owner, and its end, writes the head anew, and every page of results is
// written under the head's revision.
#pragma once

#include "batch_board.h"
#include "edge/front.h"
#include "edge/members.h"
#include "http/server.h"
#include "platform/batch_codec.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerail::edge {

class batches {
public:
    batches(context& shared, members& group, front& calls);

    // From callers whose key was checked.
    struct submit_options {
        std::optional<std::chrono::milliseconds> deadline; // the caller's own
        bool mayPassOn = true; // to the instance that runs this route's batches
    };
    void onSubmit(const http::exchange_ptr& exchange, batch_head head, submit_options options);
    void onCall(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait);
    // From other instances; false if the path is none of ours.
    bool onPeer(const http::exchange_ptr& exchange);

    void tick();
    // Hands all batches over; call tick() until handedOver().
    void beginStop();
    bool handedOver() const;
    const board_counts& counts() const { return m_board.counts(); }
    std::vector<model_demand> demand() const { return m_board.demand(m_context.now); }
    std::size_t open() const;

private:
    // A batch of ours; the board has its items.
    struct owned_batch {
        batch_head head;
        bool accepted = true; // else its submission is still under way, and it is shown to nobody
        bool textsStored = false; // a record of texts may stand in the store
        revision fence; // of the head in the store
        bool ending = false; // its end is being written
        std::vector<http::exchange_ptr> endWaiters;
        instant endAgain {};
        instant endGiveUp {};
    };
    struct open_submit {
        batch_head head;
        std::vector<http::exchange_ptr> waiters;
        std::string body;
        bool unsure = false; // a write whose outcome is unknown was made
        bool busy = false;
        instant again {};
        instant giveUp {};
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
        item_id item;
        platform::event_reader reader;
        platform::target_head head;
    };
    using head_function = std::function<void(const batch_head&, revision)>;

    // Submitting.
    bool abandoned(const open_submit& submit) const;
    void runAhead(const open_submit& submit);
    void accept(const open_submit& submit, revision fence);
    void writeSubmit(const batch_id& id);
    void onSubmitWritten(const batch_id& id, const result<kv_answer>& answer);
    void finishSubmit(const batch_id& id, int status);
    bool own(const batch_head& head, revision fence, std::string_view body, std::vector<batch_result> listed, std::uint32_t pages);
    const member* preferredOwner(const batch_head& head) const;
    void passSubmit(const http::exchange_ptr& exchange, const batch_head& head, const member& to, submit_options options);

    // Reading.
    void answerOwned(const http::exchange_ptr& exchange, const platform::batch_call& call, std::chrono::milliseconds wait);
    void answerReads();
    void passOn(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait, const batch_head& head, revision fence);
    void answerFromStore(const http::exchange_ptr& exchange, const platform::batch_call& call, const batch_head& head, revision fence);
    void readHead(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead);
    const member* directoryOf(const batch_id& id) const;
    void announce(const batch_head& head);
    void lookUp(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead);
    void respond(const http::exchange_ptr& exchange, int status, std::string body) const;
    bool isAlive(const batch_head& head) const;

    // Ending.
    void requestEnd(const batch_id& id, const http::exchange_ptr& exchange);
    void writeEnd(const batch_id& id);
    void endForeign(const http::exchange_ptr& exchange, batch_head head, revision fence);
    void tellOwner(const batch_head& head, instant until);

    // Ownership.
    void adoptOrphans();
    void scanHeads();
    void checkOwned(const std::vector<kv_entry>& heads);
    void considerOrphan(const batch_head& head, revision fence);
    void adopt(const batch_head& head, revision fence, const std::function<void(bool)>& onDone);
    void lose(const batch_id& id, const char* why);
    void handOver(const batch_id& id);
    void expire();

    // Runs.
    void act(std::vector<board_action> actions);
    void run(const run_item& action);
    void onRunEvent(attempt_id attempt, http::event& event);
    void judge(const judge_item& action);
    void write(const write_page& action);
    void save(const save_texts& action);

    context& m_context;
    members& m_members;
    front& m_front;
    batch_board m_board;
    std::map<batch_id, owned_batch> m_owned; // exactly the batches of m_board
    std::map<batch_id, open_submit> m_submits;
    struct passed_submit {
        http::exchange_ptr exchange;
        std::uint64_t transfer = 0;
    };
    std::vector<passed_submit> m_passed; // to other instances, without an answer yet
    std::vector<waiting_read> m_reads;
    std::map<attempt_id, run_transfer> m_runs;
    struct known_head {
        batch_head head;
        revision fence;
    };
    std::map<batch_id, known_head> m_foreign; // owners of others' batches, as read or told last
    std::map<batch_id, known_head> m_orphans; // whose owner is missing; taken over after a grace
    std::map<batch_id, instant> m_orphanSince;
    std::set<batch_id> m_adopting;
    bool m_scanning = false;
    bool m_scannedOnce = false;
    bool m_checkOwned = false; // the next scan also tells which of ours went to others
    instant m_scanAgain {};
    instant m_nextExpiry {};
    bool m_stopping = false;
    std::size_t m_handingOver = 0; // hand-overs without an answer yet
};

} // namespace lovagerail::edge
