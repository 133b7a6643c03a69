"""Capacity under traffic: a failure domain of cheap targets is taken away, and
targets that are idle are emptied and stopped, with every request answered."""

import json
import time
import unittest

from fleet import CONFIGURATION, DOMAINS, Fleet
from kit import KitTest, get, post, wait_until

LOAD_SECONDS = 8


def configuration(pool):
    return CONFIGURATION.replace("ceiling = 8", pool)


class Capacity(KitTest):
    def fleet(self, pool, cheap=(), engines=8, **more):
        fleet = Fleet(self.kit, engines=engines, configuration=configuration(pool), platform_flags={"start_ms": 200, "stop_ms": 200}, **more)
        slots = [{"id": f"engine-{i}", "address": fleet.engines[i].address, "pool": "model-pool", "kind": "cheap",
                  "failure_domain": DOMAINS[i % 3], "started": True, "price_micro_per_hour": 600_000} for i in cheap]
        post(fleet.platform.control + "/setup", {"slots": slots})
        return fleet.ready()

    def orders(self, fleet):
        return get(fleet.daemons[fleet.names[0]].operators + "/v1/orders", headers={"Authorization": "Bearer " + fleet.operator_key}).json

    def start_load(self, fleet, seconds, rate):
        return self.kit.start_client("load", entries=fleet.callers(), keys=[fleet.keys["mawr"], fleet.keys["bach"]],
                                     rate_per_second=rate, duration_ms=seconds * 1000, max_tokens=200)

    def check_load(self, load):
        load.wait(60)
        summary = json.loads(load.output().strip().splitlines()[-1])
        self.assertGreater(summary["requests"], 0)
        self.assertEqual(summary["outcomes"].get("ok"), summary["requests"], summary)
        return summary

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

    def test_idle_targets_are_emptied_and_stopped(self):
        fleet = self.fleet("floor = 2\nceiling = 8\nstart_up_s = 1", engines=6, settings={"timing": {"capacity_idle": "2s"}})
        load = self.start_load(fleet, 20, 10)

        def live():
            return [t for t in fleet.platform.log()["targets"] if t["pool"] == "model-pool" and t["state"] == "live"]
        wait_until(lambda: len(live()) < 6, "a stop", seconds=25)
        self.check_load(load)
        self.assertGreaterEqual(len(live()), 2)
        stops = [o for o in fleet.platform.log()["orders"]
                 if o["action"] == "stop" and o["status"] == 200 and o["pool"] == "model-pool"]
        self.assertGreater(len(stops), 0)
        for stop in stops:
            attempts = next(e for e in fleet.engines if e.name == stop["target"]).log()["attempts"]
            self.assertEqual([a for a in attempts if a["outcome"] not in ("done", "cancelled")], [])
        entries = fleet.ctl("explain", "TARGET", stops[0]["target"]).stdout
        self.assertIn("empty", entries)


if __name__ == "__main__":
    unittest.main()
