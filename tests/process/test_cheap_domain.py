"""Capacity under traffic: a failure domain of cheap targets is taken away, with every
request answered."""

import time
import unittest

from capacity_case import CapacityCase
from fleet import DOMAINS
from kit import post

LOAD_SECONDS = 8


class CheapDomain(CapacityCase):
    def test_cheap_failure_domain_is_taken_away(self):
        fleet = self.fleet("floor = 4\nceiling = 8\nallow_cheap = true\nfirm_price_micro_per_hour = 2000000\ncheap_price_micro_per_hour = 600000\nstart_up_s = 1",
                           cheap=(4, 5, 6, 7))
        load = self.start_load(fleet, LOAD_SECONDS, 150)
        time.sleep(3)
        # Without a notice: the targets are gone with what they run, the list tells later.
        for i in (4, 7):
            fleet.engines[i].crash()
        time.sleep(0.5)
        post(fleet.platform.control + "/state", {"state": "stopped", "kind": "cheap", "failure_domain": DOMAINS[1]})
        self.check_load(load)
        work = {(one["pool"], one["kind"]): one for one in self.orders(fleet)["work"]}
        cheap = work[("model-pool", "cheap")]
        self.assertGreater(cheap["attempts"], 0)
        self.assertGreater(cheap["generated"], 0)
        # Some of it was under way, and was done elsewhere.
        self.assertGreater(cheap["redone"], 0)
        print("work on cheap targets:", cheap, "on firm:", work[("model-pool", "firm")], flush=True)


if __name__ == "__main__":
    unittest.main()
