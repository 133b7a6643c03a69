"""The data path when targets fail, with real daemons: crashes and hangs, crossed responses, leaving targets."""

import concurrent.futures
import time
import unittest

from kit import call
from serving_case import ServingCase

LEAVING_BOUND_S = 3.0  # after which no daemon sends requests to a leaving target


class Targets(ServingCase):
    def test_streams_of_a_crashed_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        crashed = []

        def crash_busiest_engine():
            engine = self.busiest_engine()
            engine.crash()
            crashed.append(engine)
        self.check_complete(self.streams(16, crash_busiest_engine))
        self.assertIn("crashed", {attempt["outcome"] for attempt in crashed[0].log()["attempts"]})
        # None of the interrupted prompts stays quarantined.
        for i in range(16):
            response = self.complete_prompt(f"stream {i} of the test, told at length", i, tokens=4)
            self.assertEqual(response.status, 200, response)

    def test_streams_of_a_hanging_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        self.check_complete(self.streams(8, lambda: self.busiest_engine().faults(hang=True)))

    def test_a_leaving_target_gets_no_new_requests(self):
        self.start(daemons=2)
        leaving_target = self.fleet.engines[0]
        self.fleet.platform.faults(leaving={"id": leaving_target.name, "state": "leaving", "after_ms": 60000})
        time.sleep(LEAVING_BOUND_S)
        attempts_before = len(leaving_target.log()["attempts"])
        for i in range(30):
            self.assertEqual(self.complete_prompt(f"after leaving {i}", i).status, 200)
        self.assertEqual(len(leaving_target.log()["attempts"]), attempts_before)

    def test_crossed_responses_reach_no_caller(self):
        self.start(daemons=1)
        for target in self.fleet.engines + self.fleet.services:
            target.faults(cross_answers=2)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            stream_futures = [pool.submit(self.stream, f"own answer {i}", i) for i in range(12)]
            call_futures = [pool.submit(call, "GET", self.entries[0] + f"/stock/own/{i}", headers=self.fleet.auth("mawr")) for i in range(12)]
            self.check_complete([future.result() for future in stream_futures])
            for i, future in enumerate(call_futures):
                self.assertEqual(future.result().json["uri"], f"/stock/own/{i}")

if __name__ == "__main__":
    unittest.main()
