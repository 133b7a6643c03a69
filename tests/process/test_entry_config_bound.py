"""A configuration is in force within its bound at all instances that reach the store, whatever became of the others."""

import contextlib
import time
import unittest

from entry_world import EntryCase, config, route
from kit import CONNECTION_ERRORS, wait_until

BOUND_S = 2.0  # of the settings, by default
ADDED_ROUTE = "/added/"


class EntryConfigBound(EntryCase):
    # So long that the list of targets, which is read at the same time, never makes an instance turn to the store.
    bounds = {"drain": "60s"}

    def source_of(self, entry):
        """From where the instance reads the documents: "store", or an address."""
        lines = [line for line in entry.output().splitlines() if "duty=knowledge step=source from=" in line]
        return lines[-1].split(" from=")[1].split()[0] if lines else None

    def root_of(self, entries):
        """The instance that reads the documents from the store for all."""
        def only_reader():
            readers = [entry for entry in entries if self.source_of(entry) == "store"]
            return readers[0] if len(readers) == 1 else None

        return wait_until(only_reader, "one instance reads from the store", 15)

    def freeze(self, others, count):
        """Stops the next instance through which the root watches the configuration, and others with it. Returns them."""
        frozen = []
        by_source = {entry.source_address: entry for entry in others}

        def on_watch(prefix, source):
            if not prefix.startswith("op/config") or source not in by_source or frozen:
                return
            relay = by_source[source]
            frozen.extend([relay, *(entry for entry in others if entry is not relay)][:count])
            for entry in frozen:
                entry.pause()

        self.platform.store.on_watch = on_watch
        wait_until(lambda: len(frozen) == count, f"{count} instances are frozen", 15)
        return frozen

    def check_bound(self, frozen_count):
        entries = self.start_entries(count=4)
        time.sleep(1.5)
        root = self.root_of(entries)
        others = [entry for entry in entries if entry is not root]
        self.platform.store.partition_from([root.source_address])
        wait_until(lambda: "duty=store step=lost" in root.output(), "the root has lost the store")
        # The others have turned to the store meanwhile, and return to the root, which reads through them.
        wait_until(lambda: {self.source_of(entry) for entry in others} == {root.instances.removeprefix("http://")}, "the others read from the root again", 15)
        frozen = self.freeze(others, frozen_count)
        try:
            document = config(2)
            document["routes"].append(route("added", ADDED_ROUTE, "safe", "shop"))
            self.platform.put_config(document)
            accepted = time.monotonic()
            in_touch = [entry for entry in others if entry not in frozen]
            self.assertTrue(in_touch)
            late = {entry.name: self.in_force_after(entry, accepted) for entry in in_touch}
            self.assertTrue(all(seconds <= BOUND_S for seconds in late.values()), late)
        finally:
            for entry in frozen:
                entry.resume()
            self.platform.store.heal()

    def in_force_after(self, entry, accepted):
        """Seconds until the instance serves the added route."""
        number = 0
        while time.monotonic() - accepted < 8:
            number += 1
            sent = time.monotonic()
            with contextlib.suppress(*CONNECTION_ERRORS):
                if entry.send_request(ADDED_ROUTE + "x", f"{entry.name}.{number}").status == 200:
                    return sent - accepted
            time.sleep(0.02)
        return float("inf")

    # Guards against ages at which copies count as fresh that are above the bound: the root watches through an instance that stands still.
    def test_a_watch_that_hangs_at_another_instance_delays_nobody_beyond_the_bound(self):
        self.check_bound(1)

    # The same, with one instance left that reaches the store: nobody else can tell it of the configuration.
    def test_the_only_instance_that_reaches_the_store_is_within_the_bound(self):
        self.check_bound(2)


if __name__ == "__main__":
    unittest.main(verbosity=2)
