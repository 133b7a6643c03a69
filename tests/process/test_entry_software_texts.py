"""Texts of batches made at replicas of two software versions: each goes on only at the version that began it."""

import time
import unittest

from entry_world import submission
from software_versions_case import EVENTS, SoftwareVersionsCase, software_of


class EntrySoftwareTexts(SoftwareVersionsCase):
    def test_a_text_holds_events_of_one_version(self):
        first, second = self.start_mixed()
        for step in range(1, 4):
            self.break_streams(6)
            name = f"b{step}"
            self.assertEqual(self.submit(first, name, submission(10, step=step)).status, 202)
            for result in self.wait_for_results(second, name, 20):
                lines = result["text"].split("\n")
                self.assertEqual([line.split("@")[0] for line in lines], [f"e{number}" for number in range(1, EVENTS + 1)])
                self.assertEqual(len(software_of(lines)), 1, result)

    def test_a_text_of_a_killed_instance_goes_on_at_its_version(self):
        first, second = self.start_mixed(event_interval_s=0.7)  # long enough for its text to be stored
        self.assertEqual(self.submit(first, "b1", submission(6)).status, 202)
        time.sleep(4)
        first.kill()
        for result in self.wait_for_results(second, "b1", 30):
            self.assertEqual(len(software_of(result["text"].split("\n"))), 1, result)

    def test_a_text_whose_version_is_gone_begins_anew(self):
        first, second = self.start_mixed(event_interval_s=0.2)
        for engine in self.engines[:2]:
            engine.requests_to_break = 100
        self.assertEqual(self.submit(first, "b1", submission(6)).status, 202)
        time.sleep(0.3)
        self.assertGreater(sum(len(engine.executed_requests) for engine in self.engines[:2]), 0)
        for engine in self.engines[:2]:
            self.platform.store.remove("servers/" + engine.name)
        for result in self.wait_for_results(second, "b1", 20):
            self.assertEqual(len(software_of(result["text"].split("\n"))), 1, result)


if __name__ == "__main__":
    unittest.main(verbosity=2)
