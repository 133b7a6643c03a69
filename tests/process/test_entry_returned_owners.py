"""Batches whose owner is killed and returns under its name while other events about them are under way."""

import threading
import time
import unittest

from entry_world import EntryCase, submission
from kit import CONNECTION_ERRORS, wait_until


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

    def killed_during_a_late_submission(self, entries, late_s=2.5):
        """The owner of a submission whose write the store does late is killed and returns before it is done. Returns
        that instance and the other one."""
        first_owner, _ = self.submit_to_owner(entries, "b0", submission(1, step=7))  # the same instance runs all batches of the route
        self.assertEqual(self.end(first_owner, "b0"), 200)
        self.platform.store.late_writes_to = {"batch/body/": late_s}

        def submit():
            try:
                self.submit(first_owner, "b1", submission(2))
            except CONNECTION_ERRORS:
                pass  # killed

        submitting = threading.Thread(target=submit)
        submitting.start()
        wait_until(lambda: not self.platform.store.late_writes_to, "the submission is written")
        time.sleep(0.1)
        returned = self.restart(first_owner)
        submitting.join()
        wait_until(returned.is_ready, "the killed instance has returned")
        wait_until(lambda: self.platform.store.value("batch/head/b1") is not None, "the late write is done", late_s + 2)
        time.sleep(0.3)
        return returned, next(entry for entry in entries if entry is not first_owner)

    # Guards against a batch that nobody runs, as its head was written late and names an earlier process of an instance that has returned:
    # a repeated submission finds the head.
    def test_a_batch_whose_head_was_written_late_is_run_when_it_is_submitted_again(self):
        _, other = self.killed_during_a_late_submission(self.start_entries())
        self.assertEqual(self.submit(other, "b1", submission(2)).status, 202)
        self.assertEqual(len(self.wait_for_results(other, "b1", 8)), 4)

    # The same, where a read at another instance finds the head.
    def test_a_batch_whose_head_was_written_late_is_run_when_it_is_read_elsewhere(self):
        _, other = self.killed_during_a_late_submission(self.start_entries())
        self.assertEqual(len(self.wait_for_results(other, "b1", 8)), 4)


if __name__ == "__main__":
    unittest.main(verbosity=2)
