"""Many clients ask for large answers and don't read them."""

import select
import unittest

from crowd_case import MIB, CrowdCase, request_head

ANSWER = 8 * MIB
CROWD = 40
ANSWER_TIMEOUT_S = 60


class CrowdAnswers(CrowdCase):
    limits = {"maxBodyBytes": ANSWER}

    def test_answers_that_are_not_read(self):
        entries = self.start()
        for shop in self.shops:
            shop.answer_body = b"y" * ANSWER
        self.send_crowd(entries[0].callers, [[request_head("/plain/x", number, {"Content-Length": 0}, **{"Deadline-Ms": "30000"})] for number in range(CROWD)])
        for client in self.crowd:
            answered, _, _ = select.select([client.socket], [], [], ANSWER_TIMEOUT_S)
            self.assertTrue(answered, "each request is answered or its connection closed")
        for shop in self.shops:
            shop.answer_body = None
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
