"""Batches whose route goes away: what was accepted can still be read and ended, and runs to its end."""

import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import call, wait_until


class RemovedRoutesCase(EntryCase):
    def remove_batch_route(self, entries, **more):
        changed = config(2, **more)
        changed["routes"] = [entry for entry in changed["routes"] if entry["name"] != "steps"]
        self.platform.put_config(changed)
        for entry in entries:
            wait_until(lambda entry=entry: "step=in_force version=2" in entry.output(), f"{entry.name} has the new configuration")


class RemovedRoutes(RemovedRoutesCase):
    def test_results_can_be_read_after_their_route_was_removed(self):
        entries = self.start_entries()
        self.assertEqual(self.submit(entries[0], "batch", submission(2)).status, 202)
        listed = self.wait_for_results(entries[0], "batch")
        self.remove_batch_route(entries)
        for entry in entries:
            self.assertEqual(self.results(entry, "batch")["results"], listed)

    def test_a_batch_runs_to_its_end_after_its_route_was_removed(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.event_interval_s = 0.2
        self.assertEqual(self.submit(entries[0], "batch", submission(2)).status, 202)
        self.remove_batch_route(entries)
        results = self.wait_for_results(entries[1], "batch")
        self.assertEqual([result["state"] for result in results], ["completed"] * 4)
        ended = call("DELETE", entries[0].callers + "/lots/batch", headers={**HOST, **KEY})
        self.assertEqual(ended.status, 200, ended)

    def test_reads_of_unknown_batches_and_of_other_accounts_get_404_after_the_route_was_removed(self):
        entries = self.start_entries()
        self.assertEqual(self.submit(entries[0], "batch", submission(1)).status, 202)
        self.wait_for_results(entries[0], "batch")
        self.remove_batch_route(entries, tenants=[{"name": "acme", "apiKeys": ["key-one"]}, {"name": "other", "apiKeys": ["key-two"]}])
        for entry in entries:
            for name, key in (("none", "key-one"), ("batch", "key-two")):
                answer = call("GET", f"{entry.callers}/lots/{name}?after=0", headers={**HOST, "Credential": key, "Wait-Ms": "0"})
                self.assertEqual(answer.status, 404, (name, key, answer))


if __name__ == "__main__":
    unittest.main(verbosity=2)
