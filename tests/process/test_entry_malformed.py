"""Malformed messages to every listener of an entry instance: it refuses them and goes on."""

import http.client
import os
import socket
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import wait_until

BODIES = (b"", b"\x00\xff", b"null", b"7", b"[7,null,[],{}]", b'{"batch":7,"texts":7,"at":"x"}', b"{" * 200, b'[{"target":7,"incarnation":-1}]',
          b'{"a":' + b"9" * 400 + b"}", b"x" * 70000)
PEER_PATHS = ("/store", "/known", "/known?1.2", "/usage", "/usage?x", "/usage?99999999999999999999", "/marks", "/demand", "/departures", "/submit", "/owner", "/owner?x",
              "/handover", "/heads", "/relay", "/paths", "/limits", "/origins", "/origin", "/lots/x", "/lots/x?after=-1", "/items/x?id=", "/nothing", "/%00%ff?%")
CALLER_PATHS = ("/plain/x", "/talk/x", "/steps/x", "/lots/x?after=99999999999999999999", "/items/x?id=%ff", "/")
RAW_MESSAGES = (b"\r\n\r\n", b"GET\r\n\r\n", b"POST /plain/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n", b"POST /plain/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                b"GET /plain/x HTTP/9.9\r\nHost: \xff\r\n\r\n", os.urandom(3000))


class EntryMalformed(EntryCase):
    def test_malformed_messages_end_no_instance(self):
        first, second = self.start_entries()
        started = first.pid
        for base, paths in ((first.instances, PEER_PATHS), (first.callers, CALLER_PATHS), (first.readiness, ("/ready", "/x")), (first.metrics, ("/metrics", "/x"))):
            address = base.removeprefix("http://")
            for path in paths:
                for body in BODIES:
                    for method in ("GET", "POST", "DELETE"):
                        self.send(address, method, path, body)
            for message in RAW_MESSAGES:
                host, port = address.split(":")
                with socket.create_connection((host, int(port)), 2) as connection:
                    connection.sendall(message)
        # An entry of another writer in the store, and a configuration whose parts have wrong types.
        self.platform.store.put("servers/i-odd", b'{"service":{},"address":[],"models":7}')
        odd = config(2)
        odd["services"].append(7)
        odd["tenants"].append("x")
        self.platform.store.put("op/config", odd)
        wait_until(lambda: first.send_request("/plain/x", "after").status == 200, "the first serves", 5)
        self.assertEqual(second.send_request("/plain/x", "after-2").status, 200)
        self.assertTrue(first.running and second.running)
        self.assertEqual(first.pid, started)

    def test_long_names_are_refused_or_cut(self):
        first, _ = self.start_entries()
        self.assertEqual(self.submit(first, "b" * 129, submission(1)).status, 400)
        self.assertEqual(self.submit(first, "b" * 128, submission(1)).status, 202)
        self.assertEqual(first.send_request("/none/" + "p" * 10000, "x").status, 404)
        wait_until(lambda: "no route" in first.output(), "the refusal is logged")
        self.assertLess(max(map(len, first.output().splitlines())), 5000)

    def send(self, address, method, path, body):
        connection = http.client.HTTPConnection(address, timeout=3)
        try:
            connection.request(method, path, body, {**HOST, **KEY, "Attempt-Id": "m", "Deadline-Ms": "200", "x-batch": "b", "x-account": "acme", "x-method": "GET", "x-target": "/kv-key?key=a",
                                                     "lovagerail-target": "i-0", "lovagerail-incarnation": "1", "lovagerail-method": "G\tT", "lovagerail-path": "x"})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # it may close the connection
        finally:
            connection.close()


if __name__ == "__main__":
    unittest.main(verbosity=2)
