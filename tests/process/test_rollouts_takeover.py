"""Rollouts when daemons fail: the coordinator loses its duty, holders of payloads are killed. The tests compare what the trainer received with the engines' logs."""

import json
import time
import unittest

from kit import b64, post, unb64, wait_until
from rollout_case import RolloutCase


class RolloutTakeover(RolloutCase):
    def test_both_payload_holders_killed(self):
        fleet = self.fleet()
        trainer = self.start_trainer(fleet, steps=4)
        time.sleep(0.8)
        for name in list(fleet.daemons)[:2]:
            fleet.daemons[name].kill()
        time.sleep(0.3)
        for name in list(fleet.daemons)[:2]:
            fleet.start(name)
        self.check_delivery(fleet, trainer)

    def test_a_coordinator_that_loses_its_duty_is_replaced(self):
        fleet = self.fleet()
        trainer = self.start_trainer(fleet, steps=4)
        wait_until(lambda: self.steps_received(trainer) > 0, "a first step", seconds=30)
        # Simulates a successor that took over (a higher fencing number in the run's head) and then lost the duty again.
        key = b64("/lovagerail/runs/quotes/head")
        head = json.loads(unb64(post(fleet.kv.url + "/v3/kv/range", {"key": key}).json["kvs"][0]["value"]))
        head["fencing_number"] += 1
        post(fleet.kv.url + "/v3/kv/put", {"key": key, "value": b64(json.dumps(head))})
        self.check_delivery(fleet, trainer)


if __name__ == "__main__":
    unittest.main()
