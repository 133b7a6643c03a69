"""Capacity under traffic: the cheap targets of one failure domain are reclaimed without
notice, and every request is still answered."""

import time
import unittest

from capacity_case import CapacityCase
from fleet import DOMAINS
from kit import post

LOAD_SECONDS = 8


class CheapDomain(CapacityCase):
    def test_cheap_failure_domain_is_taken_away(self):
        fleet = self.fleet("floor = 4\nceiling = 8\nallow_cheap = true\nfirm_price_micro_per_hour = 2000000\ncheap_price_micro_per_hour = 600000\nstart_up_s = 1",
                           cheap_engines=(4, 5, 6, 7))
        load = self.start_load(fleet, LOAD_SECONDS, 150)
        time.sleep(3)
        # No notice: the targets crash with their running requests, and the platform's list shows it only later.
        for i in (4, 7):
            fleet.engines[i].crash()
        time.sleep(0.5)
        post(fleet.platform.control + "/state", {"state": "stopped", "kind": "cheap", "failure_domain": DOMAINS[1]})
        self.check_all_answered(load)
        work_by_kind = {(row["pool"], row["kind"]): row for row in self.orders(fleet)["work"]}
        cheap_work = work_by_kind[("model-pool", "cheap")]
        self.assertGreater(cheap_work["attempts"], 0)
        self.assertGreater(cheap_work["generated"], 0)
        # Some of the work was in progress and had to be redone elsewhere.
        self.assertGreater(cheap_work["redone"], 0)
        print("work on cheap targets:", cheap_work, "on firm:", work_by_kind[("model-pool", "firm")], flush=True)


if __name__ == "__main__":
    unittest.main()
