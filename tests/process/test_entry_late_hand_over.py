"""Batches that get another owner while one of the instances concerned stands still: one instance runs a batch at a time, and a
former owner sends none of its items."""

import time
import unittest

from entry_world import EntryCase, submission
from kit import wait_until


class EntryLateHandOver(EntryCase):
    def start_long_batch(self):
        """Returns the owner of a batch with more items than run at once, each of which takes 4 s, and the other instance."""
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 80, 0.05
        return self.submit_to_owner(entries, "b1", submission(20))  # 40 items, of which 24 run at once

    def items_from(self, entry, since):
        """Arrival times, after `since`, of items that the instance sent."""
        return [at - since for engine in self.engines for (at, path), (_, source) in zip(engine.arrivals, engine.arrival_sources)
                if source == entry.source_address and path.startswith("/steps/") and at > since]

    # Guards against a hand-over that a suspended instance handles late, which took the batch from the instance that had it by then: items of the
    # ended batch went on at the former owner.
    def test_a_hand_over_that_is_handled_late_takes_no_batch_from_its_owner(self):
        owner, other = self.start_long_batch()
        time.sleep(1)
        other.pause()
        owner.terminate()
        self.assertEqual(owner.wait(8), 0)
        returned = self.entry(self.entries.index(owner))
        wait_until(lambda: "step=adopted batch=b1 done=1" in returned.output(), "the returned instance has its batch", 8)
        fence = self.head("b1")
        other.resume()
        wait_until(lambda: "step=hand_over" in other.output(), "the late hand-over is handled", 5)
        time.sleep(0.5)
        self.assertEqual(self.head("b1"), fence)
        self.assertNotIn("step=owned batch=b1", other.output())
        self.assertEqual(self.end(other, "b1"), 200)
        ended_at = time.monotonic()
        time.sleep(5)  # items that are running end within 4 s and make room for others
        self.assertEqual([at for at in self.items_from(returned, ended_at) + self.items_from(other, ended_at) if at > 0.5], [])

    # Guards against an owner that sends items after a suspension, before it learns that its batch has another owner and was ended there.
    def test_an_owner_that_was_suspended_sends_nothing_of_a_batch_that_it_lost(self):
        owner, other = self.start_long_batch()
        time.sleep(1)
        owner.pause()
        wait_until(lambda: "step=adopted batch=b1 done=1" in other.output(), "the other instance takes the batch over", 12)
        self.assertEqual(self.end(other, "b1"), 200)
        resumed_at = time.monotonic()
        owner.resume()
        wait_until(lambda: "step=lost batch=b1" in owner.output(), "the former owner learns of it", 5)
        time.sleep(2)
        self.assertEqual(self.items_from(owner, resumed_at), [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
