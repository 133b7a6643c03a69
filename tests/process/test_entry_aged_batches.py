"""Take-over of an open batch that is older than results are kept."""

import time
import unittest

from entry_world import EntryCase, submission


class EntryAgedBatches(EntryCase):
    bounds = {"results_kept": "2s"}

    # Guards against an open batch that nobody takes over because of its age.
    def test_an_open_batch_of_a_killed_owner_continues_at_any_age(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 200, 0.05  # 10 s
        owner, other = self.submit_to_owner(entries, "b1", submission(2))
        time.sleep(4)
        owner.allowed_exit_codes = None
        owner.kill()
        results = self.wait_for_results(other, "b1", 25)
        self.assertEqual({result["text"].count("\n") for result in results}, {199})
        self.assertEqual(len({result["id"] for result in results}), 4)
        self.assertEqual(self.end(other, "b1"), 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
