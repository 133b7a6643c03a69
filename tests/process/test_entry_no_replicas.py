"""All replicas of a model leave at once: instances go on, and so does the model's work when replicas are back."""

import time
import unittest

from entry_world import EntryCase, submission
from kit import wait_until


class NoReplicas(EntryCase):
    def publish(self, state):
        for engine in self.engines:
            engine.state = state
            engine.incarnation += 1
            engine.publish_heartbeat()

    def test_instances_go_on_while_a_model_has_no_replica(self):
        entries = self.start_entries()
        self.platform.store.put("op/version/m", {"model": "m", "version": 2})
        self.publish("draining")
        for entry in entries:
            wait_until(lambda entry=entry: not entry.running or entry.output().count("step=leaving target=") >= len(self.engines), f"{entry.name} sees that all replicas leave", 8)
        time.sleep(4)  # another instance has taken the duty over by then, had the first one ended
        self.assertEqual([entry.exit_code for entry in entries], [None, None])
        self.publish("ready")
        self.assertEqual(self.submit(entries[0], "batch", submission(2)).status, 202)
        self.assertEqual([result["state"] for result in self.wait_for_results(entries[1], "batch", 15)], ["completed"] * 4)
        self.assertEqual([entry.exit_code for entry in entries], [None, None])


if __name__ == "__main__":
    unittest.main(verbosity=2)
