"""Capacity under traffic: idle targets are drained and stopped, and every request is
still answered."""

import unittest

from capacity_case import CapacityCase
from kit import wait_until


class Capacity(CapacityCase):
    def test_idle_targets_are_emptied_and_stopped(self):
        fleet = self.fleet("floor = 2\nceiling = 8\nstart_up_s = 1", engines=6, settings={"timing": {"capacity_idle": "2s"}})
        load = self.start_load(fleet, 20, 10)

        def live_targets():
            return [t for t in fleet.platform.log()["targets"] if t["pool"] == "model-pool" and t["state"] == "live"]
        wait_until(lambda: len(live_targets()) < 6, "a stopped target", seconds=25)
        self.check_all_answered(load)
        self.assertGreaterEqual(len(live_targets()), 2)
        stops = [o for o in fleet.platform.log()["orders"]
                 if o["action"] == "stop" and o["status"] == 200 and o["pool"] == "model-pool"]
        self.assertGreater(len(stops), 0)
        for stop in stops:
            attempts = next(e for e in fleet.engines if e.name == stop["target"]).log()["attempts"]
            self.assertEqual([a for a in attempts if a["outcome"] not in ("done", "cancelled")], [])
        explanation = fleet.ctl("explain", "TARGET", stops[0]["target"]).stdout
        self.assertIn("empty", explanation)


if __name__ == "__main__":
    unittest.main()
