"""More open connections than the instance has descriptors for, idle or within their heads."""

import time
import unittest

from crowd_case import CrowdCase, open_files_limit, request_head

DESCRIPTORS = 700
CROWD = 1000
SETTLE_S = 1  # all connections of the crowd are accepted or wait


class CrowdConnections(CrowdCase):
    machine = {"memory_mb": 160, "descriptors": DESCRIPTORS}

    def start_limited(self):
        """The instances have the limit from the system, too; this process, with the crowd and the targets, has room."""
        room = open_files_limit(8 * CROWD)
        room.__enter__()
        self.addCleanup(room.__exit__, None, None, None)
        with open_files_limit(DESCRIPTORS):
            return self.start()

    def check_crowd(self, pieces, listener="callers"):
        entries = self.start_limited()
        self.send_crowd(getattr(entries[0], listener), [pieces(number) for number in range(CROWD)])
        time.sleep(SETTLE_S)
        self.check(*entries)

    def test_idle_connections(self):
        self.check_crowd(lambda number: [])

    def test_heads_that_stop_short(self):
        self.check_crowd(lambda number: [request_head("/plain/x", number, {"X-Long": "x" * 14000})[:-2]])

    def test_request_lines_that_stop_short(self):
        self.check_crowd(lambda number: [b"GET /plain/" + b"x" * 14000])

    def test_idle_connections_at_the_listener_for_instances(self):
        self.check_crowd(lambda number: [], "instances")

    def test_requests_at_targets_that_do_not_answer(self):
        entries = self.start_limited()
        for shop in self.shops:
            shop.answer_delay_s = 2
        self.send_crowd(entries[0].callers, [[request_head("/plain/x", number, {"Content-Length": 0})] for number in range(CROWD)])
        for shop in self.shops:
            shop.answer_delay_s = 0
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
