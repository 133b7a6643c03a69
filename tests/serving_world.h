// Simulates targets and callers around one `serving` state machine, driven by generated events.
//
// The simulated targets record what really reached them and what they generated, the
// callers what they received; check() compares the two.
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

    // Callers' requests. Each returns the request's number, which occurs in its prompt or body.
    std::uint64_t askEngine(std::uint32_t account, bool stream);
    std::uint64_t askService(std::uint32_t account, bool idempotent);
    // Sends the same call each time, with the same Idempotency-Key.
    std::uint64_t askKeyed(std::uint32_t account, std::uint32_t key);
    // Sends a prompt that crashes each engine that runs it; the same text each time.
    std::uint64_t askPoison(std::uint32_t account, std::uint32_t which);

    // Simulates one event, chosen by the number.
    void step(std::uint32_t choice);
    // Runs all targets without faults until no request is open.
    void finish();
    // Checks all invariants for what has happened so far.
    void check() const;

    serving& subject() { return m_subject; }
    void passTime(duration by);
    // Runs one open attempt to its end, or crashes its target if it is a poison request.
    bool runOneAttempt(std::size_t which);
    void crash(const std::string& target);
    std::size_t openAttempts() const { return m_attempts.size(); }
    std::size_t answeredCount() const;
    const std::map<std::uint32_t, std::set<std::string>>& targetsCrashedBy() const { return m_targetsCrashedBy; }
    std::uint64_t attemptsSent() const { return m_attemptsSent; }
    instant now() const { return m_now; }
    bool isComplete(std::uint64_t number) const { return m_requests.at(number).complete; }
    std::string outcome(std::uint64_t number) const { return m_requests.at(number).outcome; }
    std::string reason(std::uint64_t number) const { return m_requests.at(number).reason; }
    int status(std::uint64_t number) const { return m_requests.at(number).status; }

private:
    struct request_state {
        bool engine = false;
        bool stream = false;
        bool idempotent = false;
        bool disconnected = false; // the caller disconnected
        std::uint32_t account = 0;
        std::string marker; // unique text in its prompt or body
        std::uint32_t runCount = 0; // how often a target really ran it
        std::string received;
        bool answerBegun = false;
        std::uint32_t endCount = 0;
        bool complete = false; // got its complete response
        std::string outcome; // of a refusal
        std::string reason;
        int status = 0;
    };
    struct attempt_at_target {
        std::uint64_t request = 0;
        std::string name; // attempt id that the target must echo
        std::string target;
        bool engine = false;
        bool headSent = false;
        std::uint32_t next = 0; // next token to generate
        std::uint32_t poison = 0; // 0 = none
    };

    void process(const std::vector<serving_action>& actions);
    void process(const send_attempt& sent);
    void recordRun(const attempt_at_target& attempt);
    void process(const complete_answer& answer);
    void listTargets();
    std::uint64_t arrive(request_state state, caller_request request);
    bool isOpen(const std::string& marker) const;
    attempt_id pick(std::size_t which) const;
    void end(attempt_id id, transfer_end how);
    void sendHead(attempt_id id, int status, bool crossed = false, bool notRun = false);
    void sendToken(attempt_id id);
    void completeAttempt(attempt_id id);
    void simulateTargetFault(attempt_id id, std::uint32_t how);
    void recordViolation(const std::string& what) const;

    serving m_subject;
    instant m_now { std::chrono::hours(1) };
    std::vector<std::string> m_keys; // raw, by account
    std::set<std::uint32_t> m_denied;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_attemptsSent = 0;
    std::map<std::uint64_t, request_state> m_requests;
    std::map<attempt_id, attempt_at_target> m_attempts; // open
    std::map<std::string, std::uint64_t> m_incarnations; // current one of each target
    std::set<std::string> m_leaving;
    std::map<std::uint32_t, std::set<std::string>> m_targetsCrashedBy; // crashed incarnations, by poison request
    std::map<std::string, std::uint32_t> m_keyedRuns; // by marker
    mutable std::string m_violation; // the first violated invariant
};

} // namespace lovagerail::test
