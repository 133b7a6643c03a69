"""Many large bodies of legal size at once, with a length, most of which stop short of their end."""

import unittest

from crowd_case import MIB, CrowdCase, request_head

BODY = 4 * MIB
CROWD = 48
STOPPING_SHORT = 40  # of the crowd


def body(number, path="/plain/x", block=256 * 1024):
    size = BODY - 1 if number < STOPPING_SHORT else BODY
    yield request_head(path, number, {"Content-Length": BODY})
    for start in range(0, size, block):
        yield b"x" * min(block, size - start)


class CrowdLengths(CrowdCase):
    limits = {"maxBodyBytes": BODY}

    def test_large_bodies_that_stop_short(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [body(number) for number in range(CROWD)])
        self.check(*entries)

    def test_large_bodies_piece_by_piece(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [body(number, block=1000) for number in range(CROWD)])
        self.check(*entries)

    def test_large_submissions_that_stop_short(self):
        entries = self.start()
        self.send_crowd(entries[0].callers, [body(number, "/steps/x") for number in range(CROWD)])
        self.check(*entries)

    def test_large_bodies_at_the_listener_for_instances(self):
        entries = self.start()
        self.send_crowd(entries[0].instances, [body(number, "/relay") for number in range(CROWD)])
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
