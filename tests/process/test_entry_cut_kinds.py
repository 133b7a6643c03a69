"""Which instances are cut off from all replicas, and whether their open connections live on."""

import unittest

from cut_case import CutCase


class EntryCutKinds(CutCase):
    def test_one_instance(self):
        self.play((2,), "silent", self.send_plain)

    def test_all_of_a_failure_domain(self):
        self.play((0, 2), "silent", self.send_plain)

    def test_open_connections_live_on_while_new_ones_fail(self):
        self.play((0, 1, 3), "new", self.send_plain)

    def test_requests_that_may_run_once_while_only_open_connections_live_on(self):
        self.play((0, 1), "new", lambda entry, name: self.send_plain(entry, name, "/once/"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
