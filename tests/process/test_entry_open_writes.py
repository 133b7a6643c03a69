"""Writes to the store whose answers are lost: a write that took effect is never treated as one that
did not. Entry instances, batches."""

import json
import time
import unittest

from entry_world import EntryCase, submission
from kit import wait_until


class OpenWrites(EntryCase):
    def stored_items(self, batch):
        keys = self.platform.store.keys_with_prefix(f"batch/page/{batch}/")
        return [row["item"] for key in keys if not key.endswith("texts") for row in json.loads(self.platform.store.value(key))]

    def listed_items(self, entry, batch):
        return [result["id"] for result in self.results(entry, batch, wait_ms=0)["results"]]

    def test_a_batch_whose_take_over_got_no_answer_is_run(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 40, 0.03
        owner, other = self.submit_to_owner(entries, "b1", submission(2))
        time.sleep(0.3)
        self.platform.store.lose_answers_to = ["batch/head/"] * 3  # the HTTP client repeats a request on a connection that was closed
        owner.terminate()
        self.assertEqual(len(self.wait_for_results(other, "b1", 8)), 4)
        self.assertFalse(self.platform.store.lose_answers_to)

    def test_a_take_over_that_can_not_read_the_batch_goes_on(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 40, 0.03
        owner, other = self.submit_to_owner(entries, "b1", submission(2))
        time.sleep(0.3)
        self.platform.store.listing_delays_s = {"batch/page/": 2}  # longer than any call waits
        owner.terminate()
        wait_until(lambda: self.head("b1")["owner"] == other.name, "the other instance owns the batch", 4)
        time.sleep(1.5)
        self.platform.store.listing_delays_s = {}
        self.assertEqual(len(self.wait_for_results(other, "b1", 8)), 4)

    def test_an_ended_batch_lists_a_page_whose_write_got_no_answer(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 40, 0.03
        owner, other = self.submit_to_owner(entries, "b1", submission(2))
        self.platform.store.lose_answers_to = ["batch/page/"] * 20
        wait_until(lambda: self.stored_items("b1"), "a page is stored", 8)
        self.assertEqual(self.end(owner, "b1"), 200)
        self.platform.store.lose_answers_to = []
        stored = self.stored_items("b1")
        for _ in range(3):
            self.assertEqual(self.listed_items(owner, "b1"), stored)
            self.assertEqual(self.listed_items(other, "b1"), stored)
            time.sleep(0.3)
        self.assertEqual(self.stored_items("b1"), stored)


if __name__ == "__main__":
    unittest.main(verbosity=2)
