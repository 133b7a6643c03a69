"""Shared base of the test_entry_endless_*.py tests: a replica that sends bytes without end until the instance closes the connection."""

import threading
import time

from entry_world import HOST, KEY, EntryCase
from kit import CONNECTION_ERRORS, call, is_sanitized, wait_until
from platform_standin import Replica

MAX_GROWTH_MB = 150  # resident memory; an instance has 390 MB on the smallest machine
PIECE = b"x" * 65536


class EndlessReplica(Replica):
    """Begins its answers as `begin` says and then repeats `piece` until the receiver closes."""

    begin, piece = None, PIECE
    endless_routes = None  # that get such answers; None: all but status checks and orders
    interval_s = 0.005  # between two pieces: bounds what an instance without limits would take

    def handle(self, request):
        is_endless = request.route not in ("/report", "/order") if self.endless_routes is None else request.route in self.endless_routes
        if self.begin is None or not is_endless or request.headers.get("Target-Instance") not in (None, self.name):
            super().handle(request)
            return
        self.executed_requests.append((request.route, dict(request.headers)))
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.headers.get('Attempt-Id', '')}\r\nServer-Stamp: stamp\r\n".encode()
        try:
            request.wfile.write(head + self.begin)
            while True:
                request.wfile.write(self.piece)
                time.sleep(self.interval_s)
        finally:
            self.closed += 1

    closed = 0  # connections that the receiver has closed


class EndlessCase(EntryCase):
    def start_with_endless(self, service, **more):
        entries = self.start_entries()
        self.endless = EndlessReplica(self.platform, "i-endless", service, "north", **more)
        self.use_only(self.endless)
        return entries

    def resident_mb(self, entry):
        with open(f"/proc/{entry.pid}/status") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))

    def check_growth(self, entry, before_mb):
        if not is_sanitized():  # sanitizers keep freed memory for a while
            self.assertLess(self.resident_mb(entry) - before_mb, MAX_GROWTH_MB)

    def check(self, service, path, begin, piece=PIECE, callers=8, is_whole=False, **headers):
        """No caller gets a success, unless the answer before the bytes without end is whole; the memory stays bounded, and all connections are closed."""
        first, _ = self.start_with_endless(service, models=["m"] if service == "pool" else ())
        before = self.resident_mb(first)
        self.endless.begin, self.endless.piece = begin, piece
        statuses, most = [], [before]

        def send(number):
            try:
                answer = call("POST", first.callers + path, b"p", {**HOST, **KEY, "Attempt-Id": f"e{number}", "Deadline-Ms": "2900", **headers})
                self.assertTrue(answer.status != 200 or answer.body == b"p")
                statuses.append(answer.status)
            except CONNECTION_ERRORS:
                statuses.append(0)

        threads = [threading.Thread(target=send, args=(number,)) for number in range(callers)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            most.append(self.resident_mb(first))
            time.sleep(0.02)
        # Behind a whole answer, a request on the kept connection may meet such bytes and fail.
        self.assertEqual(200 in statuses, is_whole)
        self.assertLessEqual(set(statuses), {200, 502, 503, 504})
        if not is_sanitized():
            self.assertLess(max(most) - before, MAX_GROWTH_MB)
        wait_until(lambda: self.endless.closed == len(self.endless.executed_requests) > 0, "all connections are closed", 5)
        self.endless.begin = None
        self.assertTrue(first.is_ready())
        wait_until(lambda: first.send_request(path, f"later{time.monotonic()}").status == 200, "the replica is used again", 10)
