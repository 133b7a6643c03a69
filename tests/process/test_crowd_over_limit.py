"""Many bodies far over the limit at once, announced or just sent, that stay open."""

import itertools
import unittest

from crowd_case import MIB, CrowdCase, chunks, request_head

LIMIT = MIB
BODY = 12 * MIB
CROWD = 24


class CrowdOverLimit(CrowdCase):
    limits = {"maxBodyBytes": LIMIT}

    def test_announced(self):
        entries = self.start()
        pieces = [b"x" * 65536] * (BODY // 65536 - 1)
        self.send_crowd(entries[0].callers, [itertools.chain([request_head("/plain/x", number, {"Content-Length": BODY})], pieces) for number in range(CROWD)])
        self.check(*entries)

    def test_just_sent(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [itertools.chain([request_head("/plain/x", number, {"Transfer-Encoding": "chunked"})], chunks(BODY, 65536)) for number in range(CROWD)])
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
