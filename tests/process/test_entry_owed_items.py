"""Items of batches under which replicas crashed: the replicas crash by themselves, and the items are still owed."""

import unittest

from entry_world import EntryCase, submission

BURST = 6  # crashes of each replica


class EntryOwedItems(EntryCase):
    def check_all_completed(self, entry, name):
        for result in self.wait_for_results(entry, name, 25):
            self.assertEqual(result["state"], "completed", result)

    def test_items_under_which_engines_crashed_come_in_full(self):
        first, second = self.start_entries()
        for engine in self.engines:
            engine.crashes_left = BURST
        self.assertEqual(self.submit(first, "b1", submission(1, size=1)).status, 202)
        self.check_all_completed(second, "b1")

    def test_items_under_whose_reward_call_services_crashed_come_in_full(self):
        first, second = self.start_entries()
        for shop in self.shops:
            shop.crashes_left = BURST
        self.assertEqual(self.submit(first, "b1", submission(1, size=1)).status, 202)
        self.check_all_completed(second, "b1")


if __name__ == "__main__":
    unittest.main(verbosity=2)
