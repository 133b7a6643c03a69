"""Batches on entry instances: one result at one position, whatever fails."""

import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import call, wait_until


class EntryBatches(EntryCase):
    def test_a_step_is_listed_alike_everywhere(self):
        first, second = self.start()
        self.engines[0].losing = 2
        self.assertEqual(self.submit(first, "b1", submission(4)).status, 202)
        self.assertEqual(self.submit(second, "b1", submission(4)).status, 202)  # again, elsewhere: the same batch
        body = call("GET", second.callers + "/items/b1?id=s1g3i1", headers={**HOST, **KEY})
        self.assertIn((body.status, body.body), ((200, b"s1g3i1"), (404, b"")))  # unless it is listed already
        here, there = self.whole(first, "b1"), self.whole(second, "b1")
        self.assertEqual(here, there)
        self.assertEqual(len({result["id"] for result in here}), 8)
        for result in here:
            self.assertEqual((result["state"], result["text"], result["versions"]), ("completed", "e1\ne2\ne3\ne4\ne5", [1]))
            self.assertEqual(result["score"], "stamp-j" + result["id"])
        self.assertEqual(call("GET", first.callers + "/lots/b1?after=0", headers={**HOST, "Credential": "none"}).status, 401)
        self.assertEqual(call("GET", first.callers + "/lots/unknown?after=0", headers={**HOST, **KEY}).status, 404)
        self.assertEqual(call("DELETE", second.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(call("DELETE", first.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(self.whole(second, "b1"), here)

    def test_results_that_need_several_answers_of_the_store(self):
        first, second = self.start()
        # More items than the replicas run at once, and a trainer that waits for one group.
        self.assertEqual(self.submit(first, "b1", {**submission(20), "desiredCount": 1}).status, 202)
        here = self.whole(first, "b1")
        self.assertGreater(len(self.platform.store.with_prefix("batch/page/b1/")), 1)
        self.assertEqual(call("DELETE", first.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.platform.store.rows_per_answer = 1
        first.allowed_exits = None
        first.kill()
        wait_until(lambda: len(self.platform.store.with_prefix("/lovagerail/duties/node/")) == 1, "the lease has lapsed", 6)
        self.assertEqual(self.whole(second, "b1"), here)

    def test_a_killed_owners_step_goes_on_elsewhere(self):
        entries = self.start()
        for engine in self.engines:
            engine.events, engine.event_s = 60, 0.03
        self.assertEqual(self.submit(entries[0], "b1", submission(2)).status, 202)
        time.sleep(0.5)
        owner, other = sorted(entries, key=lambda entry: "step=owned batch=b1" not in entry.output())
        owner.allowed_exits = None
        owner.kill()
        results = self.whole(other, "b1", 15)
        self.assertEqual(len({result["id"] for result in results}), 4)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})

    def test_long_texts_outlive_all_instances(self):
        entries = self.start()
        for engine in self.engines:
            engine.events, engine.event_s = 120, 0.05
        self.assertEqual(self.submit(entries[0], "b1", submission(1)).status, 202)
        time.sleep(4)
        for entry in entries:
            entry.allowed_exits = None
            entry.kill()
        again = [self.entry(index) for index in range(2)]
        for entry in again:
            wait_until(entry.ready, f"{entry.name} is ready")
        results = self.whole(again[1], "b1", 10)
        self.assertEqual({result["text"].count("\n") for result in results}, {119})
        behind = sorted(int(headers.get("Last-Event-Id") or 0) for _, headers in self.platform.runs("pool"))
        self.assertEqual((len(behind), behind[:2]), (4, [0, 0]))
        self.assertGreater(behind[2], 30)  # 2.5 s of 50 ms each were stored
        self.assertEqual(call("DELETE", again[0].callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertFalse([key for key in self.platform.store.with_prefix("batch/page/b1/") if key.endswith("texts")])

    def test_targets_are_ordered_for_work_that_waits(self):
        first, _ = self.start()
        self.platform.put_config(config(2, scale={"min": 1, "max": 3, "bootTimeS": 1, "spotPrice": 0.3, "zonePrices": {"north": 1, "south": 1}}))
        self.platform.duties.none_there = {"south"}
        for engine in self.engines:
            engine.events, engine.event_s = 100, 0.05
        self.assertEqual(self.submit(first, "b1", submission(30)).status, 202)  # 60 items, 24 places
        wait_until(lambda: self.platform.duties.orders, "an order", 6)
        service, domain, count, spot = self.platform.duties.orders[0]
        self.assertEqual((service, domain), ("pool", "north"))
        # Two firm ones run there; a cheap one is counted apart.
        self.assertEqual(count, 1 if spot else 3)
        more = self.platform.engine("pool", "north", models=["m"])
        wait_until(lambda: more.runs, "work at the new target", 5)
        self.assertLessEqual(max(count for _, _, count, _ in self.platform.duties.orders), 3)

    def test_a_planned_stop_hands_the_step_over(self):
        first, second = self.start()
        for engine in self.engines:
            engine.events, engine.event_s = 60, 0.03
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(0.8)
        first.terminate()
        wait_until(lambda: not first.ready(), "out of rotation", 1)
        results = self.whole(second, "b1", 10)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})
        self.assertEqual(first.wait(9), 0)
        # It went on behind what was made, and did not start over.
        self.assertTrue(any(headers.get("Last-Event-Id") for _, headers in self.platform.runs("pool")))

    def test_a_submission_waits_for_the_store(self):
        first, _ = self.start()
        self.platform.store.refuse.add("all")
        began = time.monotonic()
        threading.Timer(1.5, self.platform.store.refuse.clear).start()
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        self.assertGreater(time.monotonic() - began, 1.4)
        # Its items ran meanwhile, so little is left to wait for.
        self.assertEqual(len(self.whole(first, "b1", 2)), 4)

    def test_a_store_that_does_not_answer_is_asked_again_soon(self):
        first, _ = self.start()
        first.ask("/plain/x", "r1")  # the store has answered within milliseconds until now
        self.platform.store.mute_answers = 2
        began = time.monotonic()
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        self.assertLess(time.monotonic() - began, 2.4)  # 0.4 and 0.8 s, and 0.25 s after each
        self.assertEqual(len(self.whole(first, "b1", 5)), 4)

    def test_lost_answers_of_the_store_list_nothing_twice(self):
        first, second = self.start()
        self.platform.store.lose_answers = 2
        self.assertEqual(self.submit(first, "b1", submission(3)).status, 202)
        time.sleep(0.05)
        self.platform.store.lose_answers = 2
        results = self.whole(second, "b1")
        self.assertEqual(len({result["id"] for result in results}), 6)


if __name__ == "__main__":
    unittest.main(verbosity=2)
