// Tests of the decision what a store's answer says about a conditional write of ours: over generated
// histories of lost answers, late effects and other writers, a verdict is never refuted later.
#include "open_write.h"
#include "property.h"

#include <map>
#include <vector>

namespace lovagerail {
namespace {

    const std::string guardKey = "head";
    const std::string pageKeyName = "page";

    kv_entry entryOf(const std::string& key, const std::string& value, std::uint64_t created, std::uint64_t changed)
    {
        return { key, value, revision(created), revision(changed), {} };
    }

    result<kv_answer> refusedWith(std::vector<kv_entry> entries)
    {
        kv_answer answer;
        answer.entries = std::move(entries);
        return answer;
    }

    result<kv_answer> lost() { return failure(error_code::Unknown, "store", "no answer"); }

    // A store of two keys.
    struct small_store {
        std::map<std::string, kv_entry> keys;
        std::uint64_t last = 10;

        void put(const std::string& key, const std::string& value)
        {
            auto& entry = keys[key];
            ++last;
            entry = entryOf(key, value, entry.key.empty() ? last : entry.createRevision.value(), last);
        }

        kv_answer read(const guarded_write& write) const
        {
            kv_answer answer;
            for (const auto& key : { write.guard, write.key }) {
                if (keys.contains(key) && findEntry(answer, key) == nullptr)
                    answer.entries.push_back(keys.at(key));
            }
            return answer;
        }

        kv_answer attempt(const guarded_write& write)
        {
            const auto found = keys.find(write.guard);
            const auto current = found == keys.end() ? revision() : found->second.modRevision;
            const bool isPage = write.key != write.guard;
            if (current != write.guardRevision || (isPage && keys.contains(write.key)))
                return read(write);
            put(write.key, write.value);
            kv_answer answer;
            answer.succeeded = true;
            answer.at = revision(last);
            return answer;
        }
    };

    // What the store shows when the answer is given.
    void checkVerdict(const guarded_write& write, const write_verdict& verdict, const small_store& store)
    {
        const auto guard = store.keys.find(write.guard);
        const auto guardRevision = guard == store.keys.end() ? revision() : guard->second.modRevision;
        const auto written = store.keys.find(write.key);
        switch (verdict.state) {
        case write_state::Open:
            return;
        case write_state::NotDone:
            RC_ASSERT(guardRevision == write.guardRevision);
            RC_ASSERT(write.key == write.guard || written == store.keys.end());
            return;
        case write_state::Done:
            RC_ASSERT(written != store.keys.end());
            RC_ASSERT(written->second.value == write.value);
            RC_ASSERT(written->second.modRevision == verdict.at);
            RC_ASSERT(write.key == write.guard || guardRevision == write.guardRevision);
            return;
        case write_state::Overtaken:
            RC_ASSERT(guardRevision != write.guardRevision);
            RC_ASSERT(write.key != write.guard || written == store.keys.end() || written->second.value != write.value || write.guardRevision == revision());
            return;
        }
    }

    // Our writer repeats a write until it is settled, while answers are lost, attempts take effect late
    // and others change the guard. `reached` counts the verdicts.
    void playHistory(const guarded_write& write, small_store store, const std::vector<std::uint8_t>& events, std::map<write_state, std::size_t>& reached)
    {
        enum { AnswerArrives,
            AnswerLost,
            ReadArrives,
            EffectLate,
            LateEffect,
            OtherWrites,
            EventKinds };
        std::size_t lateAttempts = 0;
        std::optional<write_verdict> settled;
        for (const auto event : events) {
            switch (event % EventKinds) {
            case AnswerArrives:
            case AnswerLost:
            case ReadArrives: {
                if (settled)
                    break;
                const auto answer = event % EventKinds == ReadArrives ? store.read(write) : store.attempt(write);
                const auto verdict = judgeWrite(write, event % EventKinds == AnswerLost ? lost() : result<kv_answer>(answer));
                checkVerdict(write, verdict, store);
                ++reached[verdict.state];
                if (verdict.state == write_state::Done || verdict.state == write_state::Overtaken)
                    settled = verdict;
                break;
            }
            case EffectLate:
                lateAttempts += settled ? 0 : 1;
                break;
            case LateEffect:
                if (lateAttempts == 0)
                    break;
                --lateAttempts;
                // What is settled stays so.
                RC_ASSERT(!store.attempt(write).succeeded || !settled);
                break;
            case OtherWrites:
                store.put(write.guard, "other " + std::to_string(store.last));
                break;
            }
        }
    }

} // namespace

BOOST_AUTO_TEST_SUITE(open_write_suite)

BOOST_AUTO_TEST_CASE(a_lost_answer_says_nothing)
{
    const guarded_write write { guardKey, revision(5), guardKey, "ours" };
    BOOST_TEST((judgeWrite(write, lost()).state == write_state::Open));
    BOOST_TEST((judgeWrite(write, failure(error_code::Unavailable, "store", "refused")).state == write_state::Open));
}

BOOST_AUTO_TEST_CASE(a_refused_repetition_shows_that_an_earlier_attempt_took_effect)
{
    const guarded_write write { guardKey, revision(5), guardKey, "ours" };
    const auto verdict = judgeWrite(write, refusedWith({ entryOf(guardKey, "ours", 1, 8) }));
    BOOST_TEST((verdict.state == write_state::Done));
    BOOST_TEST((verdict.at == revision(8)));
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "ours, ended", 1, 9) })).state == write_state::Overtaken));
    BOOST_TEST((judgeWrite(write, refusedWith({})).state == write_state::Overtaken)); // deleted
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "before", 1, 5) })).state == write_state::NotDone));
}

// Guards against taking a batch for newly accepted whose results may be stored already.
BOOST_AUTO_TEST_CASE(a_created_guard_that_was_changed_since_is_not_our_creation)
{
    const guarded_write write { guardKey, {}, guardKey, "ours" };
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "ours", 8, 8) })).state == write_state::Done));
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "ours", 8, 9) })).state == write_state::Overtaken));
    BOOST_TEST((judgeWrite(write, refusedWith({})).state == write_state::NotDone));
}

BOOST_AUTO_TEST_CASE(a_page_under_an_unchanged_guard_is_ours)
{
    const guarded_write write { guardKey, revision(5), pageKeyName };
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "ours", 1, 5), entryOf(pageKeyName, "p", 7, 7) })).state == write_state::Done));
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "ours", 1, 5) })).state == write_state::NotDone));
    BOOST_TEST((judgeWrite(write, refusedWith({ entryOf(guardKey, "theirs", 1, 8), entryOf(pageKeyName, "p", 7, 7) })).state == write_state::Overtaken));
}

BOOST_AUTO_TEST_CASE(no_verdict_is_refuted_by_a_late_effect_or_another_writer)
{
    std::map<write_state, std::size_t> reached;
    test::checkProperty("verdicts hold in all histories", [&reached](const std::vector<std::uint8_t>& events, bool page, bool create) {
        small_store store;
        guarded_write write { guardKey, {}, page ? pageKeyName : guardKey, "ours" };
        if (page || !create) {
            store.put(guardKey, "before");
            write.guardRevision = revision(store.last);
        }
        playHistory(write, store, events, reached);
    });
    for (const auto state : { write_state::Open, write_state::NotDone, write_state::Done, write_state::Overtaken })
        BOOST_TEST(reached[state] > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
