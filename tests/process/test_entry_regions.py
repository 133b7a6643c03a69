"""Routes and accounts that name allowed regions: requests, batches and their owners stay there."""

import time
import unittest

from entry_world import EntryCase, config, submission
from kit import wait_until


class EntryRegions(EntryCase):
    regions = {"north": "east", "south": "west"}

    def allow(self, version, regions, route_name):
        document = config(version)
        for entry in document["routes"]:
            if entry["name"] == route_name:
                entry["allowedRegions"] = regions
        self.platform.put_config(document)
        wait_until(lambda: all(f"step=in_force version={version} " in entry.output() for entry in self.entries), "the configuration is in force")

    def test_requests_stay_in_allowed_regions_or_are_refused_at_once(self):
        entries = self.start_entries(2)
        self.allow(2, ["west"], "plain")
        for number in range(20):
            self.assertEqual(entries[number % 2].send_request("/plain/x", f"r{number}").status, 200)
        self.assertEqual([path for replica in self.shops if replica.zone == "north" for _, path in replica.arrivals], [])
        self.allow(3, ["nowhere"], "plain")
        began = time.monotonic()
        self.assertEqual(entries[0].send_request("/plain/x", "refused").status, 503)
        self.assertLess(time.monotonic() - began, 1)

    def test_batches_are_owned_and_run_in_allowed_regions(self):
        entries = self.start_entries(4)  # two in each region
        for version, (region, zone) in enumerate([("east", "north"), ("west", "south")], start=2):
            self.allow(version, [region], "steps")
            started = [len(engine.executed_requests) for engine in self.engines]
            for index, entry in enumerate(entries):
                name = f"b-{region}-{index}"
                self.assertEqual(self.submit(entry, name, submission(2, step=10 * version + index)).status, 202)
                self.wait_for_results(entry, name)
                owners = [i for i, other in enumerate(entries) if f"step=owned batch={name} " in other.output()]
                self.assertEqual([("north", "south")[i % 2] for i in owners], [zone], "one owner, in the allowed region")
            for engine, before in zip(self.engines, started):
                if engine.zone != zone:
                    self.assertEqual(len(engine.executed_requests), before, f"{engine.name} in {engine.zone}")
        self.allow(4, ["nowhere"], "steps")
        self.assertEqual(self.submit(entries[0], "refused", submission(1, step=99)).status, 503)


if __name__ == "__main__":
    unittest.main()
