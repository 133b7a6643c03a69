// A whole `serving` machine among fake targets and callers, driven by generated steps.
//
// The targets know what truly reached them and what they made; the callers know what
// they were told. Checks compare the two.
#pragma once

#include "serving.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerail::test {

constexpr std::uint32_t tokenCount = 6; // of each generation
constexpr std::size_t tokenBytes = 4;
constexpr std::size_t engineCount = 4;
constexpr std::size_t serviceCount = 3;

class serving_world {
public:
    explicit serving_world(serving_settings settings = {});

    // Callers' requests; the number names it in its body and prompt.
    std::uint64_t askEngine(std::uint32_t account, bool stream);
    std::uint64_t askService(std::uint32_t account, bool idempotent);
    // The same call each time, under one Idempotency-Key.
    std::uint64_t askKeyed(std::uint32_t account, std::uint32_t key);
    // A prompt that brings down each engine that runs it; the same text each time.
    std::uint64_t askPoison(std::uint32_t account, std::uint32_t which);

    // One generated event.
    void step(std::uint32_t choice);
    // Lets all targets work well until no request is open.
    void finish();
    // All promises, for what has happened so far.
    void check() const;

    serving& subject() { return m_subject; }
    void passTime(duration by);
    // The next attempt at its target runs to its end, or brings the target down.
    bool workOne(std::size_t which);
    void crash(const std::string& target);
    std::size_t openAttempts() const { return m_attempts.size(); }
    std::size_t answeredCount() const;
    const std::map<std::uint32_t, std::set<std::string>>& killedBy() const { return m_killedBy; }
    std::uint64_t attemptsSeen() const { return m_sent; }
    instant now() const { return m_now; }
    bool isWhole(std::uint64_t number) const { return m_requests.at(number).whole; }
    std::string outcome(std::uint64_t number) const { return m_requests.at(number).outcome; }
    std::string reason(std::uint64_t number) const { return m_requests.at(number).reason; }
    int status(std::uint64_t number) const { return m_requests.at(number).status; }

private:
    struct request_state {
        bool engine = false;
        bool stream = false;
        bool idempotent = false;
        bool gone = false; // the caller hung up
        std::uint32_t account = 0;
        std::string marker; // of its tokens or body
        std::uint32_t runs = 0; // how often a target truly ran it
        std::string received;
        bool begun = false;
        std::uint32_t ends = 0;
        bool whole = false; // ended with its whole answer
        std::string outcome; // of a refusal
        std::string reason;
        int status = 0;
    };
    struct attempt_at_target {
        std::uint64_t request = 0;
        std::string name; // as the target must echo it
        std::string target;
        bool engine = false;
        bool headSent = false;
        std::uint32_t next = 0; // first token to make
        std::uint32_t poison = 0; // 0 = none
    };

    void take(const std::vector<serving_action>& actions);
    void take(const send_attempt& sent);
    void noteRun(const attempt_at_target& attempt);
    void take(const whole_answer& answer);
    void listTargets();
    std::uint64_t arrive(request_state state, caller_request request);
    bool isOpen(const std::string& marker) const;
    attempt_id pick(std::size_t which) const;
    void end(attempt_id id, transfer_end how);
    void sendHead(attempt_id id, int status, bool crossed = false, bool notRun = false);
    void sendToken(attempt_id id);
    void workWhole(attempt_id id);
    void misbehave(attempt_id id, std::uint32_t how);
    void fail(const std::string& what) const;

    serving m_subject;
    instant m_now { std::chrono::hours(1) };
    std::vector<std::string> m_keys; // raw, by account
    std::set<std::uint32_t> m_denied;
    std::uint64_t m_last = 0;
    std::uint64_t m_sent = 0;
    std::map<std::uint64_t, request_state> m_requests;
    std::map<attempt_id, attempt_at_target> m_attempts; // open
    std::map<std::string, std::uint64_t> m_lives; // incarnations by target
    std::set<std::string> m_leaving;
    std::map<std::uint32_t, std::set<std::string>> m_killedBy; // incarnations, by poison
    std::map<std::string, std::uint32_t> m_keyedRuns; // by marker
    mutable std::string m_fault; // the first broken promise
};

} // namespace lovagerail::test
