"""Usage reports when their closer is killed between the seal of a window and its report."""

import json
import time
import unittest

from fleet import Fleet
from kit import KitTest, get, post, wait_until
from test_leadership import keys_with_prefix


class UsageClosing(KitTest):
    def test_closer_killed_between_seal_and_send(self):
        fleet = Fleet(self.kit)
        fleet.set_up()
        fleet.platform.faults(path="/usage", outage=True)
        self.kit.load(entries=fleet.callers(), keys=[fleet.keys["mawr"], fleet.keys["bach"]], rate_per_second=20, duration_ms=2000)
        sealed_windows = wait_until(lambda: keys_with_prefix(fleet.kv, "/lovagerail/usage/sealed/"), "a sealed window")
        duty = keys_with_prefix(fleet.kv, "/lovagerail/duties/usage-closer")["/lovagerail/duties/usage-closer"]
        closer = json.loads(duty["value"])["instance"]
        self.assertEqual(get(fleet.platform.control + "/usage").json["windows"], [])
        fleet.daemons[closer].allowed_exit_codes = None
        fleet.daemons[closer].kill()
        post(fleet.platform.control + "/state", {"id": closer, "state": "leaving"})
        fleet.platform.clear()

        def reports_of_windows():
            usage = get(fleet.platform.control + "/usage").json
            return usage if usage["windows"] else None
        wait_until(reports_of_windows, "usage reports of the successor", seconds=30)
        time.sleep(3)
        usage = reports_of_windows()
        self.assertEqual((usage["differing"], usage["stale"]), (0, 0))
        for report in usage["reports"]:
            self.assertGreater(report["fencing_number"], duty["create_revision"])
        self.assertTrue(sealed_windows)

if __name__ == "__main__":
    unittest.main()
