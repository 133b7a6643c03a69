"""A version that a trainer published reaches all engines, also if the instances that were told of it are gone."""

import unittest

from fleet import Fleet
from kit import KitTest, call, wait_until

VERSION = 3


class PublishedVersions(KitTest):
    # Guards against a rollout that stops for good: its engines stay at an old version, and the trainer waits for samples of a newer one.
    def test_a_published_version_survives_restarts_of_all_daemons(self):
        fleet = Fleet(self.kit, daemons=3, engines=4, engine_flags={"swap_ms": 2000}, daemons_with_data_folder=3).set_up()
        headers = fleet.auth("trainer")

        def published():
            return call("POST", fleet.callers()[0] + "/rollout/v1/runs/quotes/versions", {"version": VERSION}, headers=headers).status == 200
        wait_until(published, "the version is published", 20)
        for name in fleet.daemon_names:
            fleet.daemons[name].terminate()
        for name in fleet.daemon_names:
            wait_until(lambda name=name: not fleet.daemons[name].running, f"{name} has stopped", 15)
        self.assertLess(min(fleet.engine_versions()), VERSION, "not all engines have it when no daemon is left")
        for name in fleet.daemon_names:
            fleet.start(name)
        wait_until(lambda: min(fleet.engine_versions()) == VERSION, "all engines serve the version", 40)


if __name__ == "__main__":
    unittest.main()
