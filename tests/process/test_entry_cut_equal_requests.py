"""Equal requests are not taken for ones that crash replicas because an instance lost its paths to these."""

import unittest

from cut_case import CutCase


class EntryCutEqualRequests(CutCase):
    def send_equal(self, entry, name):
        return entry.send_request("/plain/x", name).status == 200

    def test_equal_requests_are_served_while_connections_are_reset(self):
        self.play((0, 1), "reset", self.send_equal)

    def test_equal_requests_are_served_while_packets_are_lost(self):
        self.play((0, 1), "silent", self.send_equal)


if __name__ == "__main__":
    unittest.main(verbosity=2)
