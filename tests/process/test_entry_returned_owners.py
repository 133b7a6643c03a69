"""Batches whose owner is killed and returns under its name while other events about them are under way."""

import threading
import time
import unittest

from entry_world import EntryCase, submission
from kit import wait_until


class EntryReturnedOwners(EntryCase):
    def restart(self, entry):
        """Kills the instance and starts it again under its name and addresses."""
        entry.allowed_exit_codes = None
        entry.kill()
        return self.entry(self.entries.index(entry))

    def listed(self, entry, batch):
        return [result["id"] for result in self.results(entry, batch, wait_ms=0)["results"]]

    # Guards against a take-over and a repeated submission of one batch at once, of which the later one dropped the results that were read.
    def test_a_submission_repeated_during_a_take_over_loses_no_results(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 20, 0.05
        batch = submission(20)  # 40 items, of which 24 run at once
        owner, other = self.submit_to_owner(entries, "b1", batch)
        read = wait_until(lambda: self.listed(other, "b1"), "some results are listed", 8)
        self.assertLess(len(read), 40)
        before = self.head("b1")["life"]
        self.platform.store.listing_delays_s = {"batch/page/": 2}  # longer than any call waits: the take-over stays open
        returned = self.restart(owner)
        wait_until(lambda: self.head("b1")["life"] != before, "the returned instance takes its batch over", 8)
        self.platform.store.lose_answers_to = ["batch/body/"] * 40
        statuses = []
        repeated = threading.Thread(target=lambda: statuses.append(self.submit(returned, "b1", batch).status))
        repeated.start()
        time.sleep(0.8)
        self.platform.store.listing_delays_s = {}
        wait_until(lambda: "step=adopted batch=b1 done=1" in returned.output(), "the take-over is finished", 8)
        self.platform.store.lose_answers_to = []
        repeated.join()
        self.assertEqual(statuses, [202])
        results = [result["id"] for result in self.wait_for_results(returned, "b1", 12)]
        self.assertEqual((results[:len(read)], len(set(results))), (read, 40))
        self.assertEqual([result["id"] for result in self.wait_for_results(other, "b1", 5)], results)


if __name__ == "__main__":
    unittest.main(verbosity=2)
