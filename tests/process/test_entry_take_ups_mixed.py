"""Streams taken up again after all instances were killed at once: they go on while their version serves beside another."""

import json
import threading
import time
import unittest

from take_up_case import IN_TOUCH_S, STREAMS, TakeUpCase

ORIGINS = "/lovagerail/origins/"
VERSIONS = "/lovagerail/software/pool"
WRITES_PER_S = 4  # of origins, with up to 64 instances


class EntryTakeUpsMixed(TakeUpCase):
    def restart_and_take_up(self, broken):
        entries = self.restart_all()
        time.sleep(IN_TOUCH_S)
        went_on, joined = self.take_up(broken, entries, True, tries=3)
        self.assertEqual(joined, 0)
        return went_on

    def test_all_instances_killed_while_two_versions_serve(self):
        entries = self.start_mixed(3)
        broken = self.begin(entries[0])
        time.sleep(1)
        self.platform.store.put(ORIGINS + "odd", b"[[[{]")
        self.platform.store.put(ORIGINS + "odd2", [1, {"stream": 7}, {"stream": "x", "pool": ["p"]}])
        self.assertGreaterEqual(self.restart_and_take_up(broken), len(broken) / 2)

    def test_origins_are_written_in_batches(self):
        entries = self.start_mixed(3)
        threads = [threading.Thread(target=self.begin, args=(entry, None, 30)) for entry in entries]
        began = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        writes_allowed = WRITES_PER_S * (time.monotonic() - began) + 2
        time.sleep(1)
        keys = self.platform.store.keys_with_prefix(ORIGINS)
        rows = [row for key in keys for row in json.loads(self.platform.store.value(key))]
        print(f"{len(rows)} origins in {len(keys)} writes, of which {writes_allowed:.1f} are allowed")
        self.assertEqual(len({row["stream"] for row in rows}), len(self.begun))
        self.assertLessEqual(len(keys), writes_allowed)

    def test_origins_stay_in_memory_while_one_version_serves(self):
        first, _ = self.start_one_version(2)
        self.begin(first)
        time.sleep(1)
        self.assertEqual(self.platform.store.keys_with_prefix(ORIGINS), [])
        self.assertEqual(json.loads(self.platform.store.value(VERSIONS)), {"versions": ["v1"]})

    def test_malformed_record_of_versions_proves_nothing(self):
        entries = self.start_one_version(2)
        broken = self.begin(entries[0])
        for value in (b"{", {"versions": [1]}, {"versions": {}}, ["v1"]):
            self.platform.store.put(VERSIONS, value)
            entries = self.restart_all()
            self.assertEqual(self.take_up(broken, entries[:1], False), (0, 0))
            self.assertTrue(all(entry.running for entry in entries))
        self.platform.store.put(VERSIONS, {"versions": ["v1"]})
        self.assertEqual(self.take_up(broken, self.restart_all()[:1], False), (STREAMS, 0))


if __name__ == "__main__":
    unittest.main(verbosity=2)
