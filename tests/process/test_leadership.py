"""Leadership: capacity orders while their holder is paused.

The holder of the order duty is stopped with SIGSTOP until its lease has expired, and then
resumes beside its successor; with a platform that checks fencing numbers and with one
that ignores them."""

import random
import time
import unittest

from fleet import CONFIGURATION, Fleet
from kit import KitTest, get, post, unb64, wait_until

FLOOR = 6
ENGINES = 8
ROUNDS = 3


def configuration(fencing):
    pool = f'floor = {FLOOR}\nceiling = {ENGINES}\nstart_up_s = 1\nfencing = "{fencing}"'
    return CONFIGURATION.replace("ceiling = 8", pool)


def keys_with_prefix(kv, prefix):
    """Keys of the key-value service with this prefix, each with value and create revision."""
    entries = {}
    for entry in get(kv.control + "/dump").json.get("kvs", []):
        key = unb64(entry["key"]).decode()
        if key.startswith(prefix):
            entries[key] = {"value": unb64(entry["value"]).decode(), "create_revision": int(entry["create_revision"])}
    return entries


class CapacityOrders(KitTest):
    def fleet(self, fencing, **flags):
        fleet = Fleet(self.kit, engines=ENGINES, configuration=configuration(fencing), platform_flags={"start_ms": 200, "stop_ms": 200, **flags})
        self.platform = fleet.platform
        fleet.set_up()
        return fleet

    def set_state(self, **state):
        self.assertEqual(post(self.platform.control + "/state", state).status, 200)

    def live_targets(self, pool="model-pool"):
        return [t for t in self.platform.log()["targets"] if t["pool"] == pool and t["state"] == "live"]

    def order_holder(self, fleet, excluding=None):
        """The name and fencing number of the instance that holds the order duty, as another instance reports it."""
        for name, daemon in fleet.daemons.items():
            if name == excluding:
                continue
            holders = get(daemon.operators + "/v1/orders", headers={"Authorization": "Bearer " + fleet.operator_key}).json.get("holders") or []
            for candidate in holders:
                if candidate["instance"] != excluding and candidate["ready"]:
                    return candidate["instance"], candidate["fencing_number"]
            return None
        return None

    def executed_starts(self):
        return [o for o in self.platform.log()["orders"] if o["action"] == "start" and o["status"] == 200]

    def test_missing_targets_are_started_once(self):
        fleet = self.fleet("checked")
        self.platform.faults(unobtainable="abertawe")
        for i in range(4, ENGINES):
            self.set_state(id=f"engine-{i}", state="stopped")
        wait_until(lambda: len(self.live_targets()) == FLOOR, "as many live targets as the floor")
        time.sleep(3)
        executed_starts = self.executed_starts()
        self.assertEqual(len(executed_starts), FLOOR - 4)
        self.assertEqual(len({o["order_id"] for o in executed_starts}), len(executed_starts))
        self.assertTrue(all(o["failure_domain"] != "abertawe" for o in executed_starts), executed_starts)
        wait_until(lambda: not keys_with_prefix(fleet.kv, "/lovagerail/orders/intents/"), "no open order intents")
        self.assertIn("/lovagerail/duties/orders", keys_with_prefix(fleet.kv, "/lovagerail/duties/"))
        self.assertEqual(len(self.live_targets()), FLOOR)

    def check_paused_holder(self, fencing, **flags):
        fleet = self.fleet(fencing, **flags)
        for i in range(FLOOR, ENGINES):
            self.set_state(id=f"engine-{i}", state="stopped")
        rng = random.Random(20261203)
        handovers = 0
        for round_number in range(ROUNDS):
            name, first_number = wait_until(lambda: self.order_holder(fleet), "an order holder")
            # Stops two targets so that orders are in progress when the holder is paused, at a random moment.
            for i in (0, 3):
                self.set_state(id=self.live_targets()[i]["id"], state="stopped")
            time.sleep(rng.uniform(0.2, 1.4))
            fleet.daemons[name].pause()
            self.set_state(id=name, state="leaving")
            _, second_number = wait_until(lambda: self.order_holder(fleet, excluding=name), "a successor of the paused holder", seconds=30)
            self.assertGreater(second_number, first_number)
            handovers += 1
            # Resumes the old holder before (odd rounds) or after its successor may send orders.
            time.sleep(0.5 if round_number % 2 else 4)
            fleet.daemons[name].resume()
            wait_until(lambda: len(self.live_targets()) == FLOOR, "as many live targets as the floor", seconds=30)
            self.set_state(id=name, state="live")
        orders = self.platform.log()["orders"]
        self.assertEqual([o for o in orders if o["stale"]], [])
        ids = [o["order_id"] for o in orders if o["status"] == 200 and o["action"] == "start"]
        self.assertGreaterEqual(len(set(ids)), ROUNDS)
        time.sleep(2)
        self.assertEqual(len(self.live_targets()), FLOOR)
        self.assertEqual(handovers, ROUNDS)

    def test_paused_holder_with_a_platform_that_checks_fencing(self):
        self.check_paused_holder("checked")

    def test_paused_holder_with_a_platform_that_ignores_fencing(self):
        self.check_paused_holder("ignored", ignore_fencing=True)

if __name__ == "__main__":
    unittest.main()
