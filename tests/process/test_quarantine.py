"""What a request that brings down each engine that runs it costs, in real processes."""

import time
import unittest

from test_serving import Serving

NEWS_SECONDS = 1.0  # by which instances know each other's suspects


class Quarantine(Serving):
    def poison(self, daemons):
        self.start(daemons=daemons)
        for engine in self.fleet.engines:
            engine.faults(poison="xyzzy")
        answers = []
        for i in range(2 * daemons + 2):
            answers.append(self.ask("please say xyzzy", i))
            time.sleep(NEWS_SECONDS)
        down = [engine.name for engine in self.fleet.engines if engine.stats()["down"] or engine.stats()["incarnation"] > 1]
        self.assertLessEqual(len(down), 2, f"{down}: {answers}")
        last = answers[-1].json["error"]
        self.assertEqual((last["reason"], last["outcome"]), ("quarantined", "not_run"))
        self.assertIn("Retry-After", answers[-1].headers)
        for i in range(8):
            self.assertEqual(self.ask(f"please say something else {i}", i).status, 200)

    def test_a_poison_request_costs_at_most_two_engines(self):
        self.poison(daemons=1)

    def test_also_if_it_is_sent_to_all_daemons(self):
        self.poison(daemons=4)


if __name__ == "__main__":
    unittest.main()
