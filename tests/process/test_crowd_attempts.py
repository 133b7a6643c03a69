"""Many whole bodies of legal size at once, held while their targets take long to answer."""

import unittest

from crowd_case import MIB, CrowdCase, request_head

BODY = 4 * MIB
CROWD = 24


class CrowdAttempts(CrowdCase):
    limits = {"maxBodyBytes": BODY}

    def test_whole_bodies_at_slow_targets(self):
        entries = self.start()
        for shop in self.shops:
            shop.answer_delay_s = 2
        self.send_crowd(entries[0].callers, [[request_head("/plain/x", number, {"Content-Length": BODY}), b"x" * BODY] for number in range(CROWD)])
        for client in self.crowd:
            client.answer()  # an instance that never answers fails here
        for shop in self.shops:
            shop.answer_delay_s = 0
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
