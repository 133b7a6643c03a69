"""Submissions and ends of batches that overlap with open writes: a submission whose answer was lost, an end during a take-over."""

import json
import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from kit import call, wait_until

CANCEL_S = 3.0  # from the acknowledgement of an end, until no item reaches a replica


class OpenSubmissions(EntryCase):
    def test_an_end_during_a_take_over_stops_the_batch(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 80, 0.05
        # More items than the 24 slots, so that some wait for several seconds.
        owner, other = self.submit_to_owner(entries, "b1", submission(20))
        time.sleep(0.3)
        self.platform.store.listing_delays_s = {"batch/page/": 0.3}  # shorter than a call waits
        owner.terminate()
        wait_until(lambda: self.head("b1")["owner"] == other.name, "the other instance owns the batch", 4)
        self.assertEqual(self.end(other, "b1"), 200)
        acknowledged = time.monotonic()
        time.sleep(CANCEL_S + 3)
        late = [path for engine in self.engines for at, path in engine.arrivals if at > acknowledged + CANCEL_S and path.startswith("/steps/")]
        self.assertEqual(late, [])

    def test_a_repeated_submission_runs_after_one_that_got_no_answer_in_time(self):
        entries = self.start_entries()
        self.platform.store.lose_answers_to = ["batch/body/"] * 40
        body = json.dumps(submission(2)).encode()
        first = call("POST", entries[0].callers + "/steps/b1", body, {**HOST, **KEY, "Attempt-Id": "b1", "Deadline-Ms": "600"})
        self.platform.store.lose_answers_to = []
        self.assertEqual(self.submit(entries[0], "b1", submission(2)).status, 202, first)
        self.assertEqual(len(self.wait_for_results(entries[0], "b1", 8)), 4)


if __name__ == "__main__":
    unittest.main(verbosity=2)
