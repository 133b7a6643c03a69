"""What requests and items at instances that lost their paths to all replicas end with, and which path is used later."""

import itertools
import time
import unittest

from cut_case import CONTACT_TIME_S, CutCase
from entry_world import HOST, KEY, submission
from kit import call


class EntryCutOutcomes(CutCase):
    def test_requests_that_may_run_once(self):
        self.play((0, 1), "silent", lambda entry, name: self.send_plain(entry, name, "/once/"))
        ids = [headers["Attempt-Id"] for path, headers in self.platform.executed_requests("shop") if path.startswith("/once/")]
        self.assertEqual(len(ids), len(set(ids)), "none ran twice")

    def test_instances_use_their_own_paths_again_after_the_cut(self):
        cut_entries = self.play((0, 1), "silent", self.send_plain)
        time.sleep(2)
        healed_at = time.monotonic()
        outcomes = self.load(cut_entries, 2, self.send_plain)
        self.assertTrue(all(itertools.chain(*outcomes.values())))
        sources = {source for shop in self.shops for at, source in shop.arrival_sources if at >= healed_at}
        self.assertEqual(sources, {entry.source_address for entry in cut_entries})
        # A target may go on reading after it has rejected a request, as it does with a path test.
        for replica in self.platform.replicas:
            self.assertFalse([routes for routes in replica.connections.values() if "/" in routes], "a path test closes its connection")
        closed = [routes for replica in self.platform.replicas for routes in replica.closed_connections if "/" in routes]
        self.assertTrue(closed, "paths were tested")
        self.assertTrue(all(routes == ["/"] for routes in closed), closed)

    def test_requests_are_refused_early_if_no_instance_reaches_a_replica(self):
        entries = self.start_entries(3)
        self.load(entries, 1, self.send_plain)
        self.cut(entries)
        self.load(entries, CONTACT_TIME_S, self.send_plain)
        for entry in entries:
            started = time.monotonic()
            response = entry.send_request("/plain/late-" + entry.name, "late-" + entry.name)
            self.assertEqual(response.status, 503, "not run")
            self.assertLess(time.monotonic() - started, 2)

    def test_requests_of_which_nothing_was_sent_end_as_not_run(self):
        entries = self.start_entries(2)
        self.load(entries, 1, self.send_plain)
        self.cut(entries)
        time.sleep(CONTACT_TIME_S)
        statuses = set()
        for number, deadline_ms in enumerate((60, 90, 250, 450)):
            for entry in entries:
                name = f"short-{number}-{entry.name}"
                statuses.add(call("POST", f"{entry.callers}/once/{name}", b"hello", {**HOST, **KEY, "Attempt-Id": name, "Deadline-Ms": str(deadline_ms)}).status)
        self.assertEqual(statuses, {503})

    def test_items_of_a_batch_that_a_cut_instance_accepts(self):
        entries = self.start_entries(4)
        self.submit(entries[0], "warm", submission(4, step=9))
        self.wait_for_results(entries[0], "warm")
        self.cut(entries[:3])
        time.sleep(CONTACT_TIME_S)
        self.assertEqual(self.submit(entries[0], "lot", submission(8)).status, 202)
        started = time.monotonic()
        self.wait_for_results(entries[0], "lot", 20)
        self.assertLess(time.monotonic() - started, 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
