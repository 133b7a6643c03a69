"""A request that crashes each engine that runs it is quarantined after at most two crashes,
with real daemons and engine stand-ins."""

import time
import unittest

from serving_case import ServingCase

GOSSIP_S = 1.0  # within which instances learn of each other's suspected requests


class Quarantine(ServingCase):
    def check_poison_request(self, daemons):
        self.start(daemons=daemons)
        for engine in self.fleet.engines:
            engine.faults(poison="xyzzy")
        responses = []
        for i in range(2 * daemons + 2):
            responses.append(self.complete_prompt("please say xyzzy", i))
            time.sleep(GOSSIP_S)
        crashed = [engine.name for engine in self.fleet.engines if engine.stats()["down"] or engine.stats()["incarnation"] > 1]
        self.assertLessEqual(len(crashed), 2, f"{crashed}: {responses}")
        last = responses[-1].json["error"]
        self.assertEqual((last["reason"], last["outcome"]), ("quarantined", "not_run"))
        self.assertIn("Retry-After", responses[-1].headers)
        for i in range(8):
            self.assertEqual(self.complete_prompt(f"please say something else {i}", i).status, 200)

    def test_a_poison_request_crashes_at_most_two_engines(self):
        self.check_poison_request(daemons=1)

    def test_a_poison_request_sent_to_all_daemons(self):
        self.check_poison_request(daemons=4)


if __name__ == "__main__":
    unittest.main()
