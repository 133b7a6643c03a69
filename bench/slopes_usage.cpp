// Cost of usage counting and error-budget tracking at 8, 100 and 1,000 accounts, of closing a usage
// window of 4, 64 and 410 instances, and of the decision journal.
#include "burn.h"
#include "journal.h"
#include "object_codec.h"
#include "slopes.h"
#include "usage_window.h"

#include <memory>

namespace lovagerail::bench {

namespace {

    constexpr std::uint64_t maxAccountsPerInstance = 100; // accounts that one instance serves in one window, at most
    constexpr std::uint64_t eventsPerWindow = 5'196; // 7,100 requests/s over 410 instances and 5 min

    std::uint64_t hashOf(std::uint64_t number) { return number * 0x9e3779b97f4a7c15u >> 32u; }

    attempt_usage makeAttempt(std::uint64_t number, std::uint64_t accounts)
    {
        const auto hash = hashOf(number);
        attempt_usage event;
        event.request = request_id("r" + std::to_string(number));
        event.account = client_account_id("account-" + std::to_string(hash % accounts));
        event.model = model_id("m" + std::to_string(hash % 2));
        event.version = weight_version(1);
        event.pool = pool_id("p");
        event.target = target_id("target-" + std::to_string(hash % 64));
        event.counted.generated = token_count(hash % 900);
        return event;
    }

    void measureCounting(std::uint64_t accounts)
    {
        constexpr std::uint64_t eventsPerFlush = 35; // 17.3 requests a second, a flush every 2 s
        const auto before = heapBytes();
        usage_counter counter({ instance_id("entry-1"), incarnation(1) }, {});
        const wall_time now { std::chrono::hours(1000) };
        std::uint64_t batchBytes = 0;
        std::uint64_t counted = 0;
        const auto begin = threadNanoseconds();
        for (std::uint64_t number = 0; number < eventsPerWindow; ++number) {
            counter.count(makeAttempt(number, accounts), now);
            ++counted;
            if (number % eventsPerFlush == eventsPerFlush - 1)
                counter.closeSegment(now);
        }
        const auto each = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(counted);
        const auto held = heapBytes() - before;
        for (const auto& batch : counter.batches(segment_number(), window_number(~std::uint64_t(0))))
            batchBytes += toText(toJson(batch)).size();
        print({ "usage", "count one attempt, a window unsealed", accounts, held, each, std::to_string(batchBytes) + " B the window's batches" });
    }

    using counters = std::vector<std::unique_ptr<usage_counter>>;

    // A key-value service and a usage sink that never fail; counts the calls and bytes of the closer.
    class immediate_platform {
    public:
        explicit immediate_platform(counters& allCounters)
            : m_counters(allCounters)
            , m_copies({})
        {
        }

        void run(usage_closer& closer, wall_time now, const std::vector<instance_id>& live)
        {
            while (true) {
                std::vector<closer_action> actions;
                timed([&] { actions = closer.tick(now, live); });
                if (actions.empty())
                    return;
                for (const closer_action& action : actions)
                    std::visit([&](const auto& call) { execute(closer, call, now); }, action);
            }
        }

        std::uint64_t nanoseconds = 0;
        std::uint64_t pulls = 0;
        std::uint64_t pulledBytes = 0;
        std::uint64_t serviceCalls = 0;
        std::uint64_t sealedBytes = 0;
        std::uint64_t reports = 0;

    private:
        template <typename Work>
        void timed(Work&& work)
        {
            const auto begin = threadNanoseconds();
            work();
            nanoseconds += threadNanoseconds() - begin;
        }
        void execute(usage_closer& closer, const pull_usage& pull, wall_time now)
        {
            ++pulls;
            for (auto& counter : m_counters) {
                if (counter->origin().instance != pull.instance)
                    continue;
                counter->closeSegment(now);
                const auto text = toText(toJson(answerPull(pull, *counter, m_copies, now)));
                pulledBytes += text.size();
                timed([&] { closer.onPull(pull, pullAnswerFromJson(parseJson(text, "bench").value())); });
            }
        }
        void execute(usage_closer& closer, const read_prefix& read, wall_time /*now*/)
        {
            ++serviceCalls;
            std::vector<key_value_pair> entries;
            for (auto it = m_store.lower_bound(read.prefix); it != m_store.end() && it->first.starts_with(read.prefix); ++it)
                entries.push_back({ it->first, read.keysOnly ? "" : it->second });
            closer.onRead(read.prefix, entries);
        }
        void execute(usage_closer& closer, const commit_entries& commit, wall_time /*now*/)
        {
            ++serviceCalls;
            for (const key_value_pair& entry : commit.puts) {
                sealedBytes += entry.value.size();
                m_store[entry.key] = entry.value;
            }
            closer.onCommit(commit, commit_outcome::Done);
        }
        void execute(usage_closer& /*closer*/, const remove_range& range, wall_time /*now*/)
        {
            ++serviceCalls;
            m_store.erase(m_store.lower_bound(range.from), m_store.lower_bound(range.to));
        }
        void execute(usage_closer& closer, const report_usage& report, wall_time /*now*/)
        {
            ++reports;
            closer.onReport(report, report_outcome::Accepted);
        }

        counters& m_counters;
        usage_copies m_copies;
        std::map<std::string, std::string> m_store;
    };

    void measureClosing(std::uint64_t instances, std::uint64_t accounts)
    {
        const usage_settings settings;
        const wall_time begin { std::chrono::hours(1000) };
        counters allCounters;
        std::vector<instance_id> live;
        for (std::uint64_t i = 0; i < instances; ++i) {
            live.emplace_back("entry-" + std::to_string(i));
            allCounters.push_back(std::make_unique<usage_counter>(usage_origin { live.back(), incarnation(1) }, settings));
        }
        // Step 1. The closer starts, and every instance counts attempts of its accounts in one window.
        usage_closer closer(fencing_number(1), {});
        immediate_platform startingPlatform(allCounters);
        startingPlatform.run(closer, begin, live);
        const auto accountsPerInstance = std::min(accounts, maxAccountsPerInstance);
        for (std::uint64_t i = 0; i < instances; ++i) {
            for (std::uint64_t account = 0; account < accountsPerInstance; ++account) {
                auto event = makeAttempt(i * 1000 + account, accounts);
                event.account = client_account_id("account-" + std::to_string((i * 37 + account) % accounts));
                allCounters[i]->count(event, begin + std::chrono::seconds(1));
            }
        }
        // Step 2. The window ends and is closed.
        immediate_platform platform(allCounters);
        const auto held = heapBytes();
        platform.run(closer, begin + settings.windowLength + std::chrono::minutes(2), live);
        const auto grownBytes = heapBytes() > held ? heapBytes() - held : 0;
        print({ "usage", "close a window of " + std::to_string(accounts) + " accounts", instances, grownBytes, static_cast<double>(platform.nanoseconds),
            std::to_string(platform.pulls) + " pulls of " + std::to_string(platform.pulledBytes) + " B, " + std::to_string(platform.serviceCalls) + " service calls, "
                + std::to_string(platform.sealedBytes) + " B written, " + std::to_string(platform.reports) + " reports" });
    }

    void measureBurn(std::uint64_t accounts)
    {
        constexpr std::uint64_t answers = 50'000;
        const auto before = heapBytes();
        burn_tracker tracker;
        const objective_bound rate { 999'000, std::chrono::milliseconds(500), 0 };
        tracker.setBounds({ { burn_scope {}, { { burn_objective::Availability, rate }, { burn_objective::FirstToken, rate }, { burn_objective::FullAnswer, rate } } } });
        const auto begin = threadNanoseconds();
        for (std::uint64_t number = 0; number < answers; ++number) {
            const auto hash = hashOf(number);
            request_served event;
            event.scope = { client_account_id("account-" + std::to_string(hash % accounts)), pool_id("p" + std::to_string(hash % 2)) };
            event.firstToken = std::chrono::milliseconds(hash % 700);
            event.whole = *event.firstToken;
            tracker.count(event, instant { std::chrono::hours(100) });
        }
        const auto each = static_cast<double>(threadNanoseconds() - begin) / answers;
        print({ "burn", "count one answer", accounts, heapBytes() - before, each, std::to_string(tracker.cells()) + " cells" });
    }

    void measureJournal(std::uint64_t entries)
    {
        const auto before = heapBytes();
        decision_journal journal { instance_id("entry-1") };
        const auto begin = threadNanoseconds();
        for (std::uint64_t number = 0; number < entries; ++number) {
            journal_entry entry;
            entry.duty = "router";
            entry.subject = "request-" + std::to_string(number);
            entry.decision = "target-17";
            entry.reason = "least_cost";
            entry.facts = { { "account", "account-1" }, { "target", "target-17" }, { "wait_ms", "12" } };
            journal.record(std::move(entry));
        }
        const auto each = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(entries);
        print({ "journal", "record one entry", entries, heapBytes() - before, each, std::to_string(journal.entries()) + " kept, " + std::to_string(journal.size().count()) + " B by its own count" });
    }

} // namespace

void printUsageSlopes()
{
    for (const std::uint64_t accounts : { 8u, 100u, 1000u })
        measureCounting(accounts);
    for (const std::uint64_t accounts : { 8u, 100u, 1000u }) {
        for (const std::uint64_t instances : { 4u, 64u, 410u })
            measureClosing(instances, accounts);
    }
    for (const std::uint64_t accounts : { 8u, 100u, 1000u })
        measureBurn(accounts);
    for (const std::uint64_t entries : { 100u, 1000u, 100000u })
        measureJournal(entries);
}

} // namespace lovagerail::bench
