"""Batches whose owner ends: another instance continues them, and no item gets a second result."""

import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from kit import call, wait_until


class EntryBatchOwners(EntryCase):
    def test_a_batch_of_a_killed_owner_continues_at_another_instance(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 60, 0.03
        self.assertEqual(self.submit(entries[0], "b1", submission(2)).status, 202)
        time.sleep(0.5)
        owner, other = sorted(entries, key=lambda entry: "step=owned batch=b1" not in entry.output())
        owner.allowed_exit_codes = None
        owner.kill()
        results = self.wait_for_results(other, "b1", 15)
        self.assertEqual(len({result["id"] for result in results}), 4)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})

    def test_partial_texts_survive_a_restart_of_all_instances(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 120, 0.05
        self.assertEqual(self.submit(entries[0], "b1", submission(1)).status, 202)
        time.sleep(4)
        for entry in entries:
            entry.allowed_exit_codes = None
            entry.kill()
        restarted = [self.entry(index) for index in range(2)]
        for entry in restarted:
            wait_until(entry.is_ready, f"{entry.name} is ready")
        results = self.wait_for_results(restarted[1], "b1", 10)
        self.assertEqual({result["text"].count("\n") for result in results}, {119})
        resume_points = sorted(int(headers.get("Last-Event-Id") or 0) for _, headers in self.platform.executed_requests("pool"))
        self.assertEqual((len(resume_points), resume_points[:2]), (4, [0, 0]))
        self.assertGreater(resume_points[2], 30)  # about 2.5 s of events (50 ms each) were stored before the kill
        self.assertEqual(call("DELETE", restarted[0].callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertFalse([key for key in self.platform.store.keys_with_prefix("batch/page/b1/") if key.endswith("texts")])

    def test_a_planned_stop_hands_the_batch_over(self):
        first, second = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 60, 0.03
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(0.8)
        first.terminate()
        wait_until(lambda: not first.is_ready(), "the stopping entry is not ready", 1)
        results = self.wait_for_results(second, "b1", 10)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})
        self.assertEqual(first.wait(9), 0)
        # The streams resumed after the events already received and did not start over.
        self.assertTrue(any(headers.get("Last-Event-Id") for _, headers in self.platform.executed_requests("pool")))

if __name__ == "__main__":
    unittest.main()
