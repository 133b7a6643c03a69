"""Callers of instances that lost their paths to all replicas are served through other instances."""

import unittest

from cut_case import CutCase


class EntryCutFromReplicas(CutCase):
    def test_callers_of_half_of_the_instances(self):
        self.play((0, 1), "silent", self.send_plain)

    def test_callers_of_most_instances(self):
        self.play((0, 1, 2), "silent", self.send_plain)

    def test_callers_of_instances_whose_connections_are_reset(self):
        self.play((0, 1), "reset", self.send_plain)

    def test_streams(self):
        self.play((0, 1), "silent", self.send_stream)


if __name__ == "__main__":
    unittest.main(verbosity=2)
