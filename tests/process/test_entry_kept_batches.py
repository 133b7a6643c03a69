"""How long batches are kept: an open one at any age, and none for ever."""

import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from kit import call, wait_until

RESULTS_KEPT_S = 2
DELETED_AFTER_S = RESULTS_KEPT_S + 5 + 5  # with the margin and the period between checks
END_REPEATED_S = 15  # after its end a batch is kept for so long at least


class EntryKeptBatches(EntryCase):
    bounds = {"results_kept": f"{RESULTS_KEPT_S}s"}

    def platform_started(self):
        """The store has batches of instances that are gone: one that was ended, with more pages than one transaction takes, and an open one whose
        trainer is gone as well. A page of another batch begins with the id of the first one."""
        long_ago = int((time.time() - 10 * 24 * 3600) * 1000)
        head = {"owner": "gone", "life": 7, "host": "shop.example", "path": "/steps/b8", "account": "acme", "submitted": long_ago, "items": 40}
        for name, ended in (("b8", True), ("b9", False)):
            self.platform.store.put("batch/head/" + name, {**head, "ended": ended})
            self.platform.store.put("batch/body/" + name, submission(1))
            for page in range(40):
                self.platform.store.put(f"batch/page/{name}/{page:06}", [])
        self.platform.store.put("batch/page/b8/2/000000", [])

    def status(self, entry, name):
        return call("GET", f"{entry.callers}/lots/{name}?after=0", headers={**HOST, **KEY, "Wait-Ms": "0"}).status

    # Guards against an open batch that is deleted by its age, and against records that stay in the store for ever: beyond the first pages, and of
    # owners that are gone.
    def test_an_open_batch_is_kept_at_any_age_and_none_for_ever(self):
        entries = self.start_entries()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 280, 0.05  # 14 s
        self.assertEqual(self.submit(entries[0], "b1", submission(2)).status, 202)
        accepted_at = time.monotonic()
        while time.monotonic() < accepted_at + DELETED_AFTER_S + 1:
            self.assertEqual([self.status(entry, "b1") for entry in entries], [200, 200], f"{time.monotonic() - accepted_at:.1f} s after the 202")
            time.sleep(0.3)
        results = self.wait_for_results(entries[1], "b1", 10)
        self.assertEqual([result["state"] for result in results], ["completed"] * 4)
        self.assertEqual(self.end(entries[0], "b1"), 200)
        ended_at = time.monotonic()
        while time.monotonic() < ended_at + END_REPEATED_S - 3:
            self.assertEqual([self.end(entry, "b1") for entry in entries], [200, 200], f"{time.monotonic() - ended_at:.1f} s after the end")
            time.sleep(1)
        kept = ["batch/page/b8/2/000000"]
        wait_until(lambda: self.platform.store.keys_with_prefix("batch/") == kept, "only the page of another batch is kept", 40)
        self.assertEqual([self.status(entry, "b1") for entry in entries], [404, 404])


if __name__ == "__main__":
    unittest.main(verbosity=2)
