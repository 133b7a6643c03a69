"""An instance that the store refuses while it serves the others."""

import time
import unittest

from entry_world import EntryCase
from kit import wait_until
from platform_standin import Server


class RefusingStore(Server):
    """Answers every call with 503, as the store does to an instance that it refuses."""

    def __init__(self):
        self.calls = 0
        super().__init__()

    def handle(self, request):
        self.calls += 1
        request.respond(503)


class EntryRefused(EntryCase):
    def test_a_refused_instance_stays_a_member_through_the_others(self):
        refusing = RefusingStore()
        self.addCleanup(refusing.close)
        self.store_addresses = {1: refusing.address}
        _, refused, _ = self.start_entries(3)
        key = "/lovagerail/duties/node/" + refused.name
        created = self.platform.store.keys[key][2]
        until = time.monotonic() + 12  # four times its lease
        while time.monotonic() < until:
            self.assertIn(key, self.platform.store.keys, "its membership lapsed")
            time.sleep(0.1)
        self.assertEqual(self.platform.store.keys[key][2], created, "its membership lapsed")
        # It asks the store itself about once a second, to see whether that serves it again.
        before = refusing.calls
        time.sleep(5)
        self.assertLessEqual(refusing.calls - before, 7)
        self.submit(refused, "b1", {"step": 0, "model": "m", "minVersion": 1, "desiredCount": 1, "items": []})
        wait_until(refused.is_ready, "it is ready", 2)


if __name__ == "__main__":
    unittest.main(verbosity=2)
