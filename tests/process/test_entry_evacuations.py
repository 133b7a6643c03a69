"""Failure domains that operators evacuate: no requests there within the bound, until the key is removed."""

import time
import unittest

from entry_world import EntryCase
from kit import get, wait_until
from test_entry_request_limits import Callers

BOUND_S = 5


class EntryEvacuations(EntryCase):
    bounds = {"evacuation": "5s"}

    def arrivals_after(self, zone, start):
        return [at for replica in self.shops if replica.zone == zone for at, _ in replica.arrivals if at >= start]

    def test_an_evacuated_domain_gets_no_requests_until_the_key_is_removed(self):
        entries = self.start_entries(3)
        store = self.platform.store
        callers = Callers(entries, 0.05)
        try:
            time.sleep(1)
            store.put("op/evacuate/nowhere", {})  # ignored
            store.put("op/evacuate/north", {})
            put_at = time.monotonic()
            time.sleep(BOUND_S + 2)
            self.assertEqual(self.arrivals_after("north", put_at + BOUND_S), [], "requests after the bound")
            self.assertTrue(self.arrivals_after("south", put_at + BOUND_S), "the other failure domain serves")
            # At this load one target may get all requests, so the other failure domain is evacuated.
            store.remove("op/evacuate/north")
            store.put("op/evacuate/south", {})
            put_at = time.monotonic()
            wait_until(lambda: self.arrivals_after("north", put_at), "the targets are used again", BOUND_S)
            time.sleep(max(0, put_at + BOUND_S - time.monotonic()) + 1)
            self.assertEqual(self.arrivals_after("south", put_at + BOUND_S), [], "requests after the bound")
        finally:
            callers.stop()
        self.assertEqual({status for _, status in callers.statuses}, {200})
        readers = sum('cause="evacuations"' in get(entry.metrics + "/metrics").body.decode() for entry in entries)
        self.assertGreaterEqual(readers, 1, "the metrics show reads of evacuations")  # the other test relies on it

    def test_an_instance_that_starts_in_an_evacuation_sends_nothing_there(self):
        entries = self.start_entries(2)
        self.platform.store.put("op/evacuate/north", {})
        put_at = time.monotonic()
        time.sleep(BOUND_S)
        entries[0].stop()
        entries[0] = self.entry(0)
        wait_until(entries[0].is_ready, "the restarted instance is ready")
        for number in range(20):
            self.assertEqual(entries[0].send_request("/plain/x", f"r{number}").status, 200)
        self.assertEqual(self.arrivals_after("north", put_at + BOUND_S), [])


class WithoutEvacuations(EntryCase):
    def test_without_the_bound_the_store_is_not_read_for_evacuations(self):
        entries = self.start_entries(2)
        self.platform.store.put("op/evacuate/north", {})
        time.sleep(BOUND_S)
        for number in range(20):
            entries[number % 2].send_request("/plain/x", f"r{number}")
        self.assertTrue([at for replica in self.shops if replica.zone == "north" for at, _ in replica.arrivals])
        for entry in entries:
            self.assertNotIn('cause="evacuations"', get(entry.metrics + "/metrics").body.decode())


if __name__ == "__main__":
    unittest.main()
