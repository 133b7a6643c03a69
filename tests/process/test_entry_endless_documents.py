"""Bytes without end from a faulty replica, in answers that the instance reads for itself."""

import time
import unittest

from endless_case import PIECE, EndlessCase
from entry_world import submission
from kit import wait_until


class EntryEndlessDocuments(EndlessCase):
    def check_documents(self, begin, piece=PIECE):
        """Status checks and orders: the replica's version is moved once its answers are sound again."""
        entries = self.start_with_endless("pool", models=["m"])
        before = [self.resident_mb(entry) for entry in entries]
        self.endless.endless_routes = ("/report", "/order")
        self.endless.begin, self.endless.piece = begin, piece
        self.platform.store.put("op/version/m", {"model": "m", "version": 2})
        wait_until(lambda: len(self.endless.executed_requests) >= 2, "the replica is asked again", 10)
        for entry, resident in zip(entries, before):
            self.check_growth(entry, resident)
        self.endless.begin = None
        wait_until(lambda: self.endless.versions["m"] == 2, "the replica gets the version", 15)
        wait_until(lambda: self.endless.closed == len(self.endless.executed_requests), "all connections are closed", 5)

    def test_a_status_check_without_end(self):
        self.check_documents(b"Content-Type: application/json\r\nConnection: close\r\n\r\n[", b"0," * 32768)

    def test_a_head_of_a_status_check_without_end(self):
        self.check_documents(b"X-More: ")

    def test_a_reward_call_without_end(self):
        first, second = self.start_with_endless("shop")
        before = self.resident_mb(first)
        self.endless.begin = b"Connection: close\r\n\r\n"
        self.assertEqual(self.submit(first, "b1", submission(4)).status, 202)
        wait_until(lambda: self.endless.executed_requests, "texts are to be scored", 10)
        time.sleep(2)
        for entry in (first, second):
            self.check_growth(entry, before)
        self.endless.begin = None
        self.assertEqual({result["state"] for result in self.wait_for_results(second, "b1", 20)}, {"completed"})


if __name__ == "__main__":
    unittest.main(verbosity=2)
