"""A single body of the full legal size in calm is served within the memory of the smallest machine."""

import http.client
import unittest

from crowd_case import MIB, CrowdCase
from entry_world import HOST, KEY

BODY = 32 * MIB
CALL_TIMEOUT_S = 100


class CrowdFullSize(CrowdCase):
    limits = {"maxBodyBytes": BODY}

    def check_served(self, entry, body, **options):
        """The stand-in of the service answers with the body of the request."""
        connection = http.client.HTTPConnection(*entry.callers.removeprefix("http://").split(":"), timeout=CALL_TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request("POST", "/plain/x", body, {**HOST, **KEY, "Attempt-Id": "full", "Deadline-Ms": "60000"}, **options)
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.read(), b"y" * BODY)

    def test_with_a_length(self):
        entries = self.start()
        self.check_served(entries[0], b"y" * BODY)
        self.check(*entries)

    def test_in_chunks(self):
        entries = self.start()
        self.check_served(entries[0], (b"y" * 65536 for _ in range(BODY // 65536)), encode_chunked=True)
        self.check(*entries)


if __name__ == "__main__":
    unittest.main(verbosity=2)
