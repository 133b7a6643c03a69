"""A configuration that is accepted between a daemon's first read and the opening of
its watch comes into force all the same."""

import unittest

from fleet import Fleet
from kit import KitTest

WATCHES_OPEN_LATE = '{"path": "/v3/watch", "slow_ms": 3000}'


class ConfigStart(KitTest):
    def test_change_before_the_watch_opens(self):
        fleet = Fleet(self.kit, daemons=2, engines=1, services=1, kv_flags={"faults": WATCHES_OPEN_LATE})
        # Raises unless it is in force everywhere in time.
        self.assertIn("accepted", fleet.apply())


if __name__ == "__main__":
    unittest.main()
