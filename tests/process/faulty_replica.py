"""A replica that misbehaves as a test tells it to."""

import contextlib
import socket

from platform_standin import Replica


class FaultyReplica(Replica):
    """A replica whose answers to requests are given by `fault`, a function of the request."""

    fault = None

    def handle(self, request):
        if self.fault is None or request.route in ("/report", "/order") or request.headers.get("Target-Instance") != self.name:
            super().handle(request)
            return
        self.executed_requests.append((request.route, dict(request.headers)))
        self.fault(request)

    def head(self, request, *lines):
        return "\r\n".join(["HTTP/1.1 200 OK", "Attempt-Id: " + request.headers["Attempt-Id"], "Server-Stamp: stamp", *lines, "", ""]).encode()

    def answer(self, request):
        return self.head(request, f"Content-Length: {len(request.body)}") + request.body

    def text_events(self, request):
        """All events that the request asks for, like a sound model replica."""
        behind = int(request.headers.get("Last-Event-Id") or 0)
        return "".join(f"id: {number}\ndata: e{number}\n\n" for number in range(behind + 1, self.events_of_a_text + 1)).encode()

    events_of_a_text = 5

    @staticmethod
    def send_and_close(request, data):
        """Sends these bytes and closes the connection in order, as a process does that ends."""
        request.wfile.write(data)
        request.wfile.flush()
        request.close_connection = True
        with contextlib.suppress(OSError):  # the other side has closed it
            request.connection.shutdown(socket.SHUT_RDWR)
