"""Replicas that crash when they begin to run certain requests, and are back under their ids seconds later."""

import socket
import struct
import threading
import time
from http.server import ThreadingHTTPServer

from world import Replica


class CrashingReplica(Replica):
    DOWN_S = 3.0  # "the replica is back after some seconds"; less than three check-in intervals
    FIRST_TOKEN_S = 0.03
    on_arrival = None  # called with (replica, request id, time) for each request that arrives
    crashes = None  # list of (time, replica, request id)
    poison = frozenset()

    def __init__(self, *arguments, **more):
        self.is_listed = True
        super().__init__(*arguments, **more)
        self.incarnation = int(time.time() * 1000)
        self.publish_heartbeat()

    def handle(self, request):
        name = request.headers.get("Attempt-Id")
        if name is not None and request.headers.get("Target-Instance") == self.name:
            type(self).on_arrival(self, name, time.monotonic())
            if name in self.poison:
                time.sleep(self.FIRST_TOKEN_S)
                if self.is_listed:  # not down already
                    self.crash(name)
                request.close_connection = True
                return
        super().handle(request)

    def crash(self, name):
        self.is_listed = False
        self.crashes.append((time.monotonic(), self, name))
        threading.Thread(target=self._restart, daemon=True).start()
        server = self._server
        server.socket.close()  # a port without a listener resets channels
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _restart(self):
        old = self._server
        time.sleep(self.DOWN_S)
        try:
            old.shutdown()
        except Exception:  # noqa: BLE001
            pass
        old.server_close()
        self._server = ThreadingHTTPServer(("127.0.0.1", self.port), old.RequestHandlerClass)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.incarnation = int(time.time() * 1000)
        self.orders_applied = self.highest_fencing_number = 0  # "a restart clears `sequence` and fences"
        self.is_listed = True
        self.publish_heartbeat()
