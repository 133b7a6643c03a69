"""Pairs of ordinary events that overlap under load: pairs that once failed, and a seeded choice of the others."""

import random
import unittest

from event_pairs import PairsWorld, all_pairs, play_pairs

SEED = 42
CHOSEN = 5
# Each failed before its fault was mended.
FIXED = [("replica_cuts", "route_added"), ("route_kind_changed", "pause")]


class EventPairs(PairsWorld):
    def test_promises_hold_while_two_events_overlap(self):
        self.start(SEED)
        others = [pair for pair in all_pairs() if pair not in FIXED]
        self.assertEqual(play_pairs(self, FIXED + random.Random(SEED).sample(others, CHOSEN)), {})


if __name__ == "__main__":
    unittest.main(verbosity=2)
