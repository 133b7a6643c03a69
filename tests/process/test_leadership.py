"""Who is in charge: orders under a paused holder, and a closer of usage that dies.

A holder is stopped by SIGSTOP across its lease and goes on beside its successor,
with a platform that checks fencing numbers and with one that ignores them."""

import json
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


def keys(kv, prefix):
    """Keys of the service below a prefix, with value and create revision."""
    out = {}
    for entry in get(kv.control + "/dump").json.get("kvs", []):
        key = unb64(entry["key"]).decode()
        if key.startswith(prefix):
            out[key] = {"value": unb64(entry["value"]).decode(), "create_revision": int(entry["create_revision"])}
    return out


class Orders(KitTest):
    def fleet(self, fencing, **flags):
        fleet = Fleet(self.kit, engines=ENGINES, configuration=configuration(fencing), platform_flags={"start_ms": 200, "stop_ms": 200, **flags})
        self.platform = fleet.platform
        fleet.ready()
        return fleet

    def state(self, **change):
        self.assertEqual(post(self.platform.control + "/state", change).status, 200)

    def live(self, pool="model-pool"):
        return [t for t in self.platform.log()["targets"] if t["pool"] == pool and t["state"] == "live"]

    def holder(self, fleet, but=None):
        """The name and fencing number of the instance that orders, as others say."""
        for name, daemon in fleet.daemons.items():
            if name == but:
                continue
            holders = get(daemon.operators + "/v1/orders", headers={"Authorization": "Bearer " + fleet.operator_key}).json.get("holders") or []
            for one in holders:
                if one["instance"] != but and one["ready"]:
                    return one["instance"], one["fencing_number"]
            return None
        return None

    def starts(self):
        return [o for o in self.platform.log()["orders"] if o["action"] == "start" and o["status"] == 200]

    def test_starts_what_is_missing_once(self):
        fleet = self.fleet("checked")
        self.platform.faults(unobtainable="abertawe")
        for i in range(4, ENGINES):
            self.state(id=f"engine-{i}", state="stopped")
        wait_until(lambda: len(self.live()) == FLOOR, "as many targets as the floor says")
        time.sleep(3)
        starts = self.starts()
        self.assertEqual(len(starts), FLOOR - 4)
        self.assertEqual(len({o["order_id"] for o in starts}), len(starts))
        self.assertTrue(all(o["failure_domain"] != "abertawe" for o in starts), starts)
        wait_until(lambda: not keys(fleet.kv, "/lovagerail/orders/intents/"), "intents settled")
        self.assertIn("/lovagerail/duties/orders", keys(fleet.kv, "/lovagerail/duties/"))
        self.assertEqual(len(self.live()), FLOOR)

    def paused_holder(self, fencing, **flags):
        fleet = self.fleet(fencing, **flags)
        for i in range(FLOOR, ENGINES):
            self.state(id=f"engine-{i}", state="stopped")
        chooser = random.Random(20261203)
        changes = 0
        for turn in range(ROUNDS):
            name, before = wait_until(lambda: self.holder(fleet), "a holder")
            # Orders are under way when it is stopped, at another moment each round.
            for i in (0, 3):
                self.state(id=self.live()[i]["id"], state="stopped")
            time.sleep(chooser.uniform(0.2, 1.4))
            fleet.daemons[name].pause()
            self.state(id=name, state="leaving")
            _, after = wait_until(lambda: self.holder(fleet, but=name), "another holder", seconds=30)
            self.assertGreater(after, before)
            changes += 1
            # It goes on before, and after, its successor may order.
            time.sleep(0.5 if turn % 2 else 4)
            fleet.daemons[name].resume()
            wait_until(lambda: len(self.live()) == FLOOR, "as many targets as the floor says", seconds=30)
            self.state(id=name, state="live")
        orders = self.platform.log()["orders"]
        self.assertEqual([o for o in orders if o["stale"]], [])
        ids = [o["order_id"] for o in orders if o["status"] == 200 and o["action"] == "start"]
        self.assertGreaterEqual(len(set(ids)), ROUNDS)
        time.sleep(2)
        self.assertEqual(len(self.live()), FLOOR)
        self.assertEqual(changes, ROUNDS)

    def test_paused_holder_and_a_platform_that_checks(self):
        self.paused_holder("checked")

    def test_paused_holder_and_a_platform_that_ignores(self):
        self.paused_holder("ignored", ignore_fencing=True)


class Closing(KitTest):
    def test_closer_killed_between_seal_and_send(self):
        fleet = Fleet(self.kit)
        fleet.ready()
        fleet.platform.faults(path="/usage", outage=True)
        self.kit.load(entries=fleet.callers(), keys=[fleet.keys["mawr"], fleet.keys["bach"]], rate_per_second=20, duration_ms=2000)
        sealed = wait_until(lambda: keys(fleet.kv, "/lovagerail/usage/sealed/"), "a sealed window")
        duty = keys(fleet.kv, "/lovagerail/duties/usage-closer")["/lovagerail/duties/usage-closer"]
        closer = json.loads(duty["value"])["instance"]
        self.assertEqual(get(fleet.platform.control + "/usage").json["windows"], [])
        fleet.daemons[closer].allowed_exits = None
        fleet.daemons[closer].kill()
        post(fleet.platform.control + "/state", {"id": closer, "state": "leaving"})
        fleet.platform.clear()

        def reported():
            usage = get(fleet.platform.control + "/usage").json
            return usage if usage["windows"] else None
        wait_until(reported, "reports of the successor", seconds=30)
        time.sleep(3)
        usage = reported()
        self.assertEqual((usage["differing"], usage["stale"]), (0, 0))
        for report in usage["reports"]:
            self.assertGreater(report["fencing_number"], duty["create_revision"])
        self.assertTrue(sealed)


if __name__ == "__main__":
    unittest.main()
