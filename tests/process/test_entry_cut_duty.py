"""The duty over targets at an instance that lost its paths to all replicas while others reach them."""

import json
import time
import unittest

from cut_case import CutCase
from kit import wait_until

HANDED_ON_S = 5  # from the first order that can't be given, until another instance gives it


class EntryCutDuty(CutCase):
    def holder(self, entries):
        value = self.platform.store.value("/lovagerail/duties/targets")
        name = json.loads(value)["instance"] if value else None
        return next((entry for entry in entries if entry.name == name), None)

    def publish(self, version, seconds):
        self.platform.publish_version("m", version)
        started = time.monotonic()
        wait_until(lambda: any(engine.versions["m"] == version for engine in self.engines), f"version {version} is loaded", seconds)
        print(f"version {version} after {time.monotonic() - started:.1f} s")

    def test_a_holder_that_reaches_no_replica_hands_its_duty_on(self):
        entries = self.start_entries(4)
        self.publish(2, HANDED_ON_S)
        holder = self.holder(entries)  # it has acted: while members join, a claim may be given back
        self.cut([holder])
        self.publish(3, HANDED_ON_S)
        self.assertIsNot(self.holder(entries), holder)

        # The one after it is cut off as well, and the first one heals: none takes turns.
        second = self.holder(entries)
        self.heal()
        self.cut([second])
        self.publish(4, HANDED_ON_S)
        third = self.holder(entries)
        self.heal()
        self.publish(5, HANDED_ON_S)
        self.assertIs(self.holder(entries), third)

    def test_a_holder_keeps_its_duty_if_nobody_reaches_a_replica(self):
        entries = self.start_entries(3)
        self.publish(2, HANDED_ON_S)
        holder = self.holder(entries)
        self.cut(entries)
        self.platform.publish_version("m", 3)
        end = time.monotonic() + HANDED_ON_S
        while time.monotonic() < end:
            self.assertIs(self.holder(entries), holder)
            time.sleep(0.1)
        self.heal()
        wait_until(lambda: any(engine.versions["m"] == 3 for engine in self.engines), "version 3 is loaded", HANDED_ON_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
