"""Answers whose status line is none, to requests of callers: they are never taken for answers."""

import unittest

from entry_world import HOST, KEY
from kit import Stream
from status_line_case import STATUS_LINES, StatusLineCase


class StatusLines(StatusLineCase):
    def check_requests(self, path):
        first, _ = self.start_with_odd("shop", (path,))
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            with self.subTest(status_line=line):
                # A body of its own for each, as one that fails twice is kept from targets.
                answer = first.send_request(path + "x", f"r{number}", body=line.encode())
                self.assertEqual((answer.status, answer.headers.get("Server-Stamp")), (502, None))
        self.assertGreaterEqual(len(self.odd.executed_requests), len(STATUS_LINES))
        self.odd.status_line = None
        self.assertEqual(first.send_request(path + "x", "sound").status, 200)

    def test_requests_that_may_be_repeated(self):
        self.check_requests("/plain/")

    def test_requests_that_may_run_once(self):
        self.check_requests("/once/")
        ids = [headers["Attempt-Id"] for _, headers in self.odd.executed_requests]
        self.assertEqual(len(ids), len(set(ids)))

    def test_streams(self):
        first, _ = self.start_with_odd("pool", ("/talk/",), models=["m"])
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            with self.subTest(status_line=line):
                with Stream("POST", first.callers + "/talk/x", line.encode(), {**HOST, **KEY, "Attempt-Id": f"s{number}", "Deadline-Ms": "2500", "Model": "m"}) as stream:
                    self.assertEqual((stream.status, stream.headers.get("Server-Stamp")), (502, None))
        self.assertTrue(self.odd.executed_requests)


if __name__ == "__main__":
    unittest.main(verbosity=2)
