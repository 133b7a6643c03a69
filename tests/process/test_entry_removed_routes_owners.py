"""Batches whose route goes away and whose owner ends: another instance runs them on by the route that they were accepted with."""

import time
import unittest

from entry_world import config, submission
from kit import wait_until
from test_entry_removed_routes import RemovedRoutesCase


class RemovedRoutesOwners(RemovedRoutesCase):
    def take_over(self, removed_first):
        """The owner is killed; returns the states that the other instance lists."""
        entries = self.start_entries()
        for engine in self.engines:
            engine.event_interval_s = 0.4
        self.assertEqual(self.submit(entries[0], "batch", submission(2)).status, 202)
        owner, other = sorted(entries, key=lambda entry: "step=owned batch=batch" not in entry.output())
        if removed_first:
            self.remove_batch_route(entries)
        owner.kill()
        if not removed_first:
            self.remove_batch_route([other])
        return [result["state"] for result in self.wait_for_results(other, "batch", 15)]

    def test_a_batch_is_taken_over_after_its_route_was_removed(self):
        self.assertEqual(self.take_over(True), ["completed"] * 4)

    def test_a_batch_is_taken_over_while_its_route_is_removed(self):
        self.assertEqual(self.take_over(False), ["completed"] * 4)

    def test_a_batch_is_run_after_all_instances_were_killed_while_its_route_was_away(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.event_interval_s = 0.4
        self.assertEqual(self.submit(entries[0], "batch", submission(2)).status, 202)
        self.remove_batch_route(entries)
        for entry in entries:
            entry.kill()
        entries = [self.entry(index) for index in range(len(entries))]
        for entry in entries:
            wait_until(entry.is_ready, f"{entry.name} is ready")
        time.sleep(2)
        self.platform.put_config(config(3))
        self.assertEqual([result["state"] for result in self.wait_for_results(entries[0], "batch", 15)], ["completed"] * 4)


if __name__ == "__main__":
    unittest.main(verbosity=2)
