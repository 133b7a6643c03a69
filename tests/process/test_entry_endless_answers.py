"""Bytes without end from a faulty replica, in a head or a body."""

import time
import unittest

from endless_case import MAX_GROWTH_MB, PIECE, EndlessCase
from entry_world import HOST, KEY, submission
from kit import CONNECTION_ERRORS, Stream, wait_until


class EntryEndlessAnswers(EndlessCase):
    def test_a_head_without_end(self):
        self.check("shop", "/plain/x", b"", b"X-More: " + b"x" * 1000 + b"\r\n")

    def test_a_header_without_end(self):
        self.check("shop", "/plain/x", b"X-More: ")

    def test_interim_heads_without_end(self):
        self.check("shop", "/plain/x", b"Content-Length: 1\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)

    def test_a_body_without_end(self):
        self.check("shop", "/plain/x", b"Connection: close\r\n\r\n")

    def test_chunks_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n")

    def test_a_stream_without_the_end_of_an_event(self):
        first, _ = self.start_with_endless("pool", models=["m"])
        before = self.resident_mb(first)
        self.endless.interval_s = 0.001
        self.endless.begin, self.endless.piece = b"Content-Type: text/event-stream\r\nConnection: close\r\nWeight-Versions: 1\r\n\r\nid: 1\ndata: e1\n\n", PIECE
        with Stream("POST", first.callers + "/talk/x", b"p", {**HOST, **KEY, "Attempt-Id": "s1", "Deadline-Ms": "2900", "Model": "m"}) as stream:
            with self.assertRaises(CONNECTION_ERRORS):
                list(stream.lines())
        self.assertLess(self.resident_mb(first) - before, MAX_GROWTH_MB)
        wait_until(lambda: self.endless.closed == len(self.endless.executed_requests), "all connections are closed", 5)

    def test_items_without_the_end_of_an_event_are_made_elsewhere(self):
        first, second = self.start_with_endless("pool", models=["m"])
        before = self.resident_mb(first)
        self.endless.begin = b"Content-Type: text/event-stream\r\nConnection: close\r\nWeight-Versions: 1\r\n\r\nid: 1\ndata: e1\n\n"
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(2)
        self.assertLess(self.resident_mb(first) - before, MAX_GROWTH_MB)
        self.endless.begin = None
        for result in self.wait_for_results(second, "b1", 20):
            self.assertEqual(result["text"], "\n".join(f"e{number}" for number in range(1, 6)))


if __name__ == "__main__":
    unittest.main(verbosity=2)
