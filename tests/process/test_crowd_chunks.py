"""Many large chunked bodies at once, in large or very small chunks, that stop short of their end."""

import itertools
import unittest

from crowd_case import MIB, CrowdCase, chunks, request_head

BODY = 4 * MIB
CROWD = 48


def body(number, chunk_size):
    return itertools.chain([request_head("/plain/x", number, {"Transfer-Encoding": "chunked"})], chunks(BODY, chunk_size))


class CrowdChunks(CrowdCase):
    limits = {"maxBodyBytes": BODY}

    def test_large_chunks(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [body(number, 64 * 1024) for number in range(CROWD)])
        self.check(*entries)

    def test_very_small_chunks(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [body(number, 16) for number in range(CROWD)])
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
