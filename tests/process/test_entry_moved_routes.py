"""Batches whose route is moved to another pool, or whose split changes, after they were accepted."""

import time
import unittest

from entry_world import EntryCase, config, submission
from kit import wait_until

EVENTS, EVENT_INTERVAL_S = 40, 0.05  # an item takes 2 s


def moved(version, **place):
    """The route of batches leads to this service, or to the services of this split."""
    document = config(version)
    steps = next(route for route in document["routes"] if route["name"] == "steps")
    del steps["service"]
    steps.update(place)
    document["services"].append({**document["services"][0], "name": "pool2"})
    return document


class EntryMovedRoutes(EntryCase):
    def start(self):
        """Two instances, and a batch of 40 items at the pool, whose three replicas run 24 of them; the other pool has two replicas."""
        entries = self.start_entries()
        self.others = [self.platform.engine("pool2", zone, models=["m"]) for zone in ("north", "south")]
        for engine in self.engines + self.others:
            engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
        for entry in entries:
            wait_until(lambda entry=entry: "target=" + self.others[1].name in entry.output(), f"{entry.name} knows the other pool")
        self.platform.put_config(moved(2, service="pool"))
        self.in_force(2)
        owner, other = self.submit_to_owner(entries, "b1", submission(20))
        wait_until(lambda: len(self.items_at(self.engines)) == 24, "items have begun in all slots of the pool", 2)
        return owner, other

    def in_force(self, version):
        for entry in self.entries:
            if entry.running:
                wait_until(lambda entry=entry: f"step=in_force version={version}" in entry.output(), f"{entry.name} has version {version} in force", 4)

    def remove_pool(self):
        """The old pool is taken away: its replicas take nothing new, end what they have, and are gone."""
        for engine in self.engines:
            engine.state = "draining"
            engine.publish_heartbeat()
        time.sleep(EVENTS * EVENT_INTERVAL_S + 1)
        for engine in self.engines:
            self.platform.store.remove("servers/" + engine.name)
            engine.refuse_requests = True

    def items_at(self, engines):
        return [path for engine in engines for path, _ in engine.executed_requests if path.startswith("/steps/")]

    # Guards against items that are sent nowhere, as their route was moved and the pool that they were accepted for is gone.
    def test_items_run_at_the_new_pool_once_the_old_one_is_gone(self):
        _, other = self.start()
        self.platform.put_config(moved(3, service="pool2"))
        self.in_force(3)
        self.remove_pool()
        results = self.wait_for_results(other, "b1", 8)
        self.assertEqual({(result["state"], result["text"].count("\n")) for result in results}, {("completed", EVENTS - 1)})
        # What had begun at the old pool ended there; nothing was run twice.
        self.assertEqual((len(self.items_at(self.engines)), len(self.items_at(self.others))), (24, 16))

    # The same, where the owner is killed after the move: its successor has the batch by the record of its acceptance.
    def test_items_run_at_the_new_pool_after_a_take_over(self):
        owner, other = self.start()
        self.platform.put_config(moved(3, service="pool2"))
        self.in_force(3)
        owner.allowed_exit_codes = None
        owner.kill()
        self.remove_pool()
        results = self.wait_for_results(other, "b1", 20)
        self.assertEqual({(result["state"], result["text"].count("\n")) for result in results}, {("completed", EVENTS - 1)})
        self.assertGreaterEqual(len(self.items_at(self.others)), 16)

    # Items go on at the pool that they were accepted for while the new one has no replica.
    def test_items_run_at_the_old_pool_while_the_new_one_has_no_replica(self):
        _, other = self.start()
        for engine in self.others:
            self.platform.store.remove("servers/" + engine.name)
        for engine in self.others:
            wait_until(lambda engine=engine: all(f"step=gone target={engine.name}" in entry.output() for entry in self.entries), f"{engine.name} is gone", 4)
        self.platform.put_config(moved(3, service="pool2"))
        self.in_force(3)
        self.assertEqual(len(self.wait_for_results(other, "b1", 10)), 40)
        self.assertEqual(len(self.items_at(self.engines)), 40)

    # Guards against items that run at a service whose weight is 0: when they are accepted, or since.
    def test_a_service_of_weight_0_gets_no_items(self):
        _, other = self.start()
        self.platform.put_config(moved(3, trafficSplit=[{"service": "pool", "weight": 0}, {"service": "pool2", "weight": 1}]))
        self.in_force(3)
        begun = len(self.items_at(self.engines))
        self.assertEqual(self.submit(other, "b2", submission(8, step=2)).status, 202)
        self.wait_for_results(other, "b1", 12)
        self.wait_for_results(other, "b2", 12)
        self.assertEqual(len(self.items_at(self.engines)), begun)


if __name__ == "__main__":
    unittest.main(verbosity=2)
