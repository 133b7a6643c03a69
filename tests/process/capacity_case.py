"""Shared base of the capacity tests: a deployment whose engine pool has a floor, a ceiling and optionally cheap targets."""

import json

from fleet import CONFIGURATION, DOMAINS, Fleet
from kit import KitTest, get, post


def configuration(pool_settings):
    """The fleet's configuration with these settings of the engine pool in place of its ceiling."""
    return CONFIGURATION.replace("ceiling = 8", pool_settings)


class CapacityCase(KitTest):
    def fleet(self, pool_settings, cheap_engines=(), engines=8, **more):
        fleet = Fleet(self.kit, engines=engines, configuration=configuration(pool_settings), platform_flags={"start_ms": 200, "stop_ms": 200}, **more)
        slots = [{"id": f"engine-{i}", "address": fleet.engines[i].address, "pool": "model-pool", "kind": "cheap",
                  "failure_domain": DOMAINS[i % 3], "started": True, "price_micro_per_hour": 600_000} for i in cheap_engines]
        post(fleet.platform.control + "/setup", {"slots": slots})
        return fleet.set_up()

    def orders(self, fleet):
        return get(fleet.daemons[fleet.daemon_names[0]].operators + "/v1/orders", headers={"Authorization": "Bearer " + fleet.operator_key}).json

    def start_load(self, fleet, seconds, rate):
        return self.kit.start_client("load", entries=fleet.callers(), keys=[fleet.keys["mawr"], fleet.keys["bach"]],
                                     rate_per_second=rate, duration_ms=seconds * 1000, max_tokens=200)

    def check_all_answered(self, load):
        load.wait(60)
        summary = json.loads(load.output().strip().splitlines()[-1])
        self.assertGreater(summary["requests"], 0)
        self.assertEqual(summary["outcomes"].get("ok"), summary["requests"], summary)
        return summary
