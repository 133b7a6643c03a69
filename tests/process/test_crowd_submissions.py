"""Submissions whose parsed form takes many times their size, and many accepted ones."""

import base64
import json
import unittest

from crowd_case import MIB, CrowdCase, request_head
from kit import call
from entry_world import HOST, KEY

LIMIT = 4 * MIB
DENSE = b"[" + b"[]," * (LIMIT // 3 - 1) + b"[]]"
CROWD = 24
ITEMS = 8000


def many_items(number):
    items = [{"id": f"c{number}i{index}", "path": "/steps/x", "body": ""} for index in range(ITEMS)]
    return json.dumps({"step": 1, "model": "m", "minVersion": 1, "desiredCount": 1, "items": items}).encode()


class CrowdSubmissions(CrowdCase):
    limits = {"maxBodyBytes": LIMIT}

    def test_dense_values(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [[request_head(f"/steps/d{number}", number, {"Content-Length": len(DENSE)}), DENSE] for number in range(2)])
        for client in self.crowd:
            self.assertIn(client.answer(), (400, 413, 429, 503))
        self.check(*entries)

    def test_many_accepted_submissions(self):
        entries = self.start()
        for engine in self.engines:
            engine.event_interval_s = 1
        for number in range(CROWD):
            call("POST", f"{entries[0].callers}/steps/c{number}", many_items(number), {**HOST, **KEY, "Attempt-Id": f"c{number}", "Deadline-Ms": "3000"})
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
