"""A configuration change accepted between a daemon's first read and the opening of its watch must
still come into force: a watch that starts at the current revision would miss it."""

import unittest

from fleet import Fleet
from kit import KitTest

DELAYED_WATCH_FAULT = '{"path": "/v3/watch", "slow_ms": 3000}'


class ConfigurationAtStartup(KitTest):
    def test_change_before_the_watch_opens(self):
        fleet = Fleet(self.kit, daemons=2, engines=1, services=1, kv_flags={"faults": DELAYED_WATCH_FAULT})
        # Raises unless the configuration is in force on all daemons in time.
        self.assertIn("accepted", fleet.apply())


if __name__ == "__main__":
    unittest.main()
