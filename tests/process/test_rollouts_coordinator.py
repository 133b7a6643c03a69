"""Rollouts whose coordinator is killed in every phase."""

import time
import unittest

from kit import wait_until
from rollout_case import RolloutCase


class RolloutCoordinator(RolloutCase):
    def test_coordinator_killed_in_every_phase(self):
        fleet = self.fleet()
        trainer = self.start_trainer(fleet, steps=6)
        killed = 0
        for delay in (0.3, 1.2, 0.7):
            time.sleep(delay)
            name = wait_until(lambda: self.coordinator(fleet), "a coordinator", seconds=10)
            fleet.daemons[name].kill()
            killed += 1
            time.sleep(0.2)
            fleet.start(name)
        samples, summary = self.check_delivery(fleet, trainer, steps=6)
        print(f"\ncoordinators killed: {killed}; samples {len(samples)}, failovers {summary['failovers']}, idle {summary['idle_ms']} ms of {summary['total_ms']} ms")

if __name__ == "__main__":
    unittest.main()
