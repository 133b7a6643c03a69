"""Shared base of the test_entry_status_lines*.py tests: a replica whose answers have no sound status line."""

import json

from entry_world import EntryCase
from faulty_replica import FaultyReplica

STATUS_LINES = ("HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2 200 OK", "HTTP/1.1 200OK")


def replace_status_line(data, line):
    return line.encode() + data[data.index(b"\r\n"):]


class OddReplica(FaultyReplica):
    """Begins answers of the routes in `odd_routes` with `status_line`."""

    status_line, odd_routes = None, ()

    def handle(self, request):
        if self.status_line is None or not request.route.startswith(self.odd_routes):
            super().handle(request)
            return
        self.executed_requests.append((request.route, dict(request.headers)))
        body = request.body or b"x"
        if request.route == "/report":
            body = json.dumps({"busy": False, "sequence": self.orders_applied, "models": [{"name": "m", "version": 1}]}).encode()
        kind = ["Content-Type: text/event-stream", "Weight-Versions: 1"] if self.versions else []
        head = b"HTTP/1.1 200 OK\r\n" + f"Attempt-Id: {request.headers.get('Attempt-Id', '')}\r\nServer-Stamp: stamp\r\n".encode()
        text = self.text_events(request) if kind and request.route not in ("/report", "/order") else body
        data = head + "".join(line + "\r\n" for line in kind).encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        self.send_and_close(request, replace_status_line(data, self.status_line))


class StatusLineCase(EntryCase):
    def start_with_odd(self, service, routes, **more):
        entries = self.start_entries()
        self.odd = OddReplica(self.platform, "i-odd", service, "north", **more)
        self.odd.odd_routes = routes
        self.use_only(self.odd)
        return entries
