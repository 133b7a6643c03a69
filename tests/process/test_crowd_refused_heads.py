"""A request whose head shows that it will be refused is answered before its body is sent."""

import unittest

from crowd_case import MIB, Client, CrowdCase, request_head

LIMIT = MIB
LARGE = {"Content-Length": LIMIT}


class CrowdRefusedHeads(CrowdCase):
    limits = {"maxBodyBytes": LIMIT}

    def check_refused(self, status, path="/plain/x", body_headers=None, **more):
        first, _ = self.start()
        client = Client(first.callers, [request_head(path, 0, body_headers or LARGE, **more)])
        self.crowd.append(client)
        self.assertEqual(client.answer(), status)
        self.check(first)

    def test_unknown_key(self):
        self.check_refused(401, Credential="key-none")

    def test_unknown_route(self):
        self.check_refused(404, path="/none/x")

    def test_length_over_the_limit(self):
        self.check_refused(413, body_headers={"Content-Length": LIMIT + 1})

    def test_chunks_over_the_limit(self):
        first, _ = self.start()
        client = Client(first.callers, [request_head("/plain/x", 0, {"Transfer-Encoding": "chunked"}), b"%x\r\n" % (LIMIT + 1) + b"x" * (LIMIT + 1) + b"\r\n"])
        self.crowd.append(client)
        client.thread.join()
        self.assertEqual(client.answer(), 413)
        self.check(first)


if __name__ == "__main__":
    unittest.main(verbosity=2)
