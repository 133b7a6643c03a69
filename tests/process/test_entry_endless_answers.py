"""Bytes without end from a faulty replica, in a head or a body, until the instance closes the connection."""

import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from kit import CONNECTION_ERRORS, Stream, call, is_sanitized, wait_until
from platform_standin import Replica

MAX_GROWTH_MB = 150  # resident memory; an instance has 390 MB on the smallest machine
PIECE = b"x" * 65536


class EndlessReplica(Replica):
    """Begins its answers as `begin` says and then repeats `piece` until the receiver closes."""

    begin, piece = None, PIECE
    interval_s = 0.005  # between two pieces: bounds what an instance without limits would take

    def handle(self, request):
        if self.begin is None or request.route in ("/report", "/order") or request.headers.get("Target-Instance") != self.name:
            super().handle(request)
            return
        self.executed_requests.append((request.route, dict(request.headers)))
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.headers['Attempt-Id']}\r\nServer-Stamp: stamp\r\n".encode()
        try:
            request.wfile.write(head + self.begin)
            while True:
                request.wfile.write(self.piece)
                time.sleep(self.interval_s)
        finally:
            self.closed += 1

    closed = 0  # connections that the receiver has closed


class EntryEndlessAnswers(EntryCase):
    def start_with_endless(self, service, **more):
        """All other replicas of the service are gone."""
        entries = self.start_entries()
        self.endless = EndlessReplica(self.platform, "i-endless", service, "north", **more)
        self.platform.replicas.append(self.endless)
        for replica in self.shops if service == "shop" else self.engines:
            self.platform.store.remove("servers/" + replica.name)
        for entry in entries:
            wait_until(lambda entry=entry: "target=i-endless" in entry.output(), f"{entry.name} knows the replica")
        time.sleep(1)
        return entries

    def resident_mb(self, entry):
        with open(f"/proc/{entry.pid}/status") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))

    def check(self, service, path, begin, piece=PIECE, callers=8, **headers):
        first, _ = self.start_with_endless(service, models=["m"] if service == "pool" else ())
        before = self.resident_mb(first)
        self.endless.begin, self.endless.piece = begin, piece
        statuses, most = [], [before]

        def send(number):
            try:
                statuses.append(call("POST", first.callers + path, b"p", {**HOST, **KEY, "Attempt-Id": f"e{number}", "Deadline-Ms": "2900", **headers}).status)
            except CONNECTION_ERRORS:
                statuses.append(0)

        threads = [threading.Thread(target=send, args=(number,)) for number in range(callers)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            most.append(self.resident_mb(first))
            time.sleep(0.02)
        self.assertNotIn(200, statuses)
        if not is_sanitized():
            self.assertLess(max(most) - before, MAX_GROWTH_MB)
        wait_until(lambda: self.endless.closed == len(self.endless.executed_requests) > 0, "all connections are closed", 5)
        self.endless.begin = None
        self.assertTrue(first.is_ready())

    def test_a_head_without_end(self):
        self.check("shop", "/plain/x", b"", b"X-More: " + b"x" * 1000 + b"\r\n")

    def test_a_header_without_end(self):
        self.check("shop", "/plain/x", b"X-More: ")

    def test_interim_heads_without_end(self):
        self.check("shop", "/plain/x", b"Content-Length: 1\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)

    def test_a_body_without_end(self):
        self.check("shop", "/plain/x", b"Connection: close\r\n\r\n")

    def test_chunks_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n")

    def test_a_stream_without_the_end_of_an_event(self):
        first, _ = self.start_with_endless("pool", models=["m"])
        before = self.resident_mb(first)
        self.endless.interval_s = 0.001
        self.endless.begin, self.endless.piece = b"Content-Type: text/event-stream\r\nConnection: close\r\nWeight-Versions: 1\r\n\r\nid: 1\ndata: e1\n\n", PIECE
        with Stream("POST", first.callers + "/talk/x", b"p", {**HOST, **KEY, "Attempt-Id": "s1", "Deadline-Ms": "2900", "Model": "m"}) as stream:
            with self.assertRaises(CONNECTION_ERRORS):
                list(stream.lines())
        self.assertLess(self.resident_mb(first) - before, MAX_GROWTH_MB)
        wait_until(lambda: self.endless.closed == len(self.endless.executed_requests), "all connections are closed", 5)

    def test_items_without_the_end_of_an_event_are_made_elsewhere(self):
        first, second = self.start_with_endless("pool", models=["m"])
        before = self.resident_mb(first)
        self.endless.begin = b"Content-Type: text/event-stream\r\nConnection: close\r\nWeight-Versions: 1\r\n\r\nid: 1\ndata: e1\n\n"
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(2)
        self.assertLess(self.resident_mb(first) - before, MAX_GROWTH_MB)
        self.endless.begin = None
        for result in self.wait_for_results(second, "b1", 20):
            self.assertEqual(result["text"], "\n".join(f"e{number}" for number in range(1, 6)))


if __name__ == "__main__":
    unittest.main(verbosity=2)
