"""A stand-in of the users' platform, small and in this process: the metadata store,
model replicas, plain replicas, and the taker of usage reports, each a server of its
own on a loopback port. Faults are switched on by attributes.

    platform = Platform(zones=("north", "south"))
    platform.engine("pool", "north", models=["m"])
    platform.service("shop", "south")
    platform.put_config({...})
"""

import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from kit import free_ports

WAIT_STEP_S = 0.02
MUTE_S = 10  # longer than any caller waits


class Server:
    """A threaded HTTP server whose calls go to handle(request)."""

    def __init__(self):
        self.port = free_ports()
        self.address = f"127.0.0.1:{self.port}"
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                parts = urllib.parse.urlsplit(self.path)
                self.route = parts.path
                self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                try:
                    outer.handle(self)
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = do_PUT = _serve

            def log_message(self, *_):
                pass

            def answer(self, status, body=None, headers=None):
                data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
                self.send_response(status)
                for name, value in (headers or {}).items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def break_off(self):
                self.close_connection = True
                self.connection.close()

        self._server = ThreadingHTTPServer(("127.0.0.1", self.port), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Store(Server):
    """Linearizable keys with leases, watches and conditional writes."""

    def __init__(self):
        self.lock = threading.Condition()
        self.keys = {}  # key: [value bytes, changed, created, lease]
        self.events = []  # (revision, key, deleted)
        self.revision = 1
        self.leases = {}  # id: [end, seconds]
        self.calls = []  # (method, route) in order
        self.refuse = set()  # peers' ports are not known, so all or nobody: {"all"}
        self.rows_per_answer = 50  # of a listing
        self.lose_answers = 0  # so many writes are carried out and not answered
        self.mute_answers = 0  # the same for submissions, and their connections stay open
        super().__init__()

    def put(self, key, value, lease=0):
        with self.lock:
            self.revision += 1
            self._put(key, value if isinstance(value, bytes) else json.dumps(value).encode(), lease)

    def remove(self, key):
        with self.lock:
            self.revision += 1
            self._remove(key)

    def value(self, key):
        with self.lock:
            self._expire()
            return self.keys[key][0] if key in self.keys else None

    def with_prefix(self, prefix):
        with self.lock:
            self._expire()
            return sorted(key for key in self.keys if key.startswith(prefix))

    def _put(self, key, value, lease):
        created = self.keys[key][2] if key in self.keys else self.revision
        self.keys[key] = [value, self.revision, created, lease]
        self.events.append((self.revision, key, False))
        self.lock.notify_all()

    def _remove(self, key):
        if self.keys.pop(key, None) is None:
            return
        self.events.append((self.revision, key, True))
        self.lock.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [one for one, (end, _) in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        """Its keys go with it."""
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, entry in self.keys.items() if entry[3] == lease]:
            self._remove(key)

    def _row(self, key):
        value, changed, created, lease = self.keys[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": changed, "created": created, "lease": lease}

    def handle(self, request):
        with self.lock:
            self.calls.append((request.command, request.route))
            if self.refuse:
                request.answer(503)
                return
            self._expire()
        method = (request.command, request.route.split("/")[1])
        if method == ("GET", "kv-watch"):
            self._watch(request)
            return
        with self.lock:
            status, body = getattr(self, {"kv-key": "_key", "kv-range": "_range", "kv-txn": "_change", "kv-lease": "_grant", "kv-keep": "_keep",
                                          "kv-lease-end": "_end"}[method[1]])(request)
            lost = method[1] == "kv-txn" and self.lose_answers > 0
            self.lose_answers -= lost
            mute = method[1] == "kv-txn" and self.mute_answers > 0 and b"batch/body/" in request.body
            self.mute_answers -= mute
        if mute:
            time.sleep(MUTE_S)
            request.break_off()
        elif lost:
            request.break_off()
        else:
            request.answer(status, body)

    def _key(self, request):
        key = request.query["key"]
        return (200, {**self._row(key), "currentRev": self.revision}) if key in self.keys else (404, {})

    def _range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        rows = [self._row(key) for key in sorted(self.keys) if key.startswith(prefix) and key > after]
        return 200, {"items": rows[:self.rows_per_answer], "hasMore": len(rows) > self.rows_per_answer, "currentRev": self.revision}

    def _watch(self, request):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        with self.lock:
            while True:
                self._expire()
                seen = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
                if seen or time.monotonic() >= end or self.refuse:
                    break
                self.lock.wait(WAIT_STEP_S)
            rows = [{"key": key, "revision": at, "deleted": True} if gone or key not in self.keys else self._row(key) for at, key, gone in seen]
            body = {"events": rows, "currentRev": self.revision}
        request.answer(200, body)

    def _change(self, request):
        change = json.loads(request.body)
        expected = change.get("expected", [])
        if any((self.keys[row["key"]][1] if row["key"] in self.keys else 0) != row["revision"] for row in expected):
            items = [self._row(row["key"]) if row["key"] in self.keys else {"key": row["key"], "revision": 0} for row in expected]
            return 412, {"items": items}
        if any(row.get("lease") and row["lease"] not in self.leases for row in change.get("setKeys", [])):
            return 404, {}
        self.revision += 1  # one for the whole change
        for row in change.get("setKeys", []):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in change.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, request):
        seconds = json.loads(request.body)["ttlMs"] / 1000
        lease = len(self.calls) + 1000
        self.leases[lease] = [time.monotonic() + seconds, seconds]
        return 200, {"lease": lease, "ttlMs": int(seconds * 1000)}

    def _keep(self, request):
        lease = int(request.route.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        return 200, {"ttlMs": int(self.leases[lease][1] * 1000)}

    def _end(self, request):
        lease = int(request.route.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}


class Replica(Server):
    """Runs requests: a plain one echoes, a model's streams `events` events."""

    def __init__(self, platform, name, service, zone, models=(), events=5, event_s=0.02):
        self.platform, self.name, self.service, self.zone = platform, name, service, zone
        self.versions = {model: 1 for model in models}
        self.events, self.event_s = events, event_s
        self.runs = []  # (path, headers) of requests that began
        self.refusing = False  # answers "not run"
        self.losing = 0  # so many runs are broken off after their third event, or unanswered
        self.orders = 0
        self.fence = 0
        self.state = "ready"
        self.born = 1
        super().__init__()
        self.beat()

    def beat(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                 "sequence": 1, "born": self.born}
        if self.versions:
            entry["models"] = [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]
        self.platform.store.put("servers/" + self.name, entry)

    def handle(self, request):
        if request.route == "/report":
            models = [{"name": name, "version": version, "adapters": []} for name, version in (self.versions or {}).items()]
            request.answer(200, {"stage": "hybrid", "models": models, "busy": False, "sequence": self.orders})
        elif request.route == "/order":
            self._order(request)
        elif request.headers.get("Target-Instance") not in (None, self.name):
            request.answer(421, None, {"Instance-Id": self.name})
        elif self.refusing:
            request.answer(503, None, {"Not-Executed": "1"})
        else:
            self.runs.append((request.route, dict(request.headers)))
            if "poison" in request.route:  # it dies, and runs again
                self.born += 1
                self.beat()
                request.break_off()
            elif self.versions:
                self._stream(request)
            elif self.losing > 0:
                self.losing -= 1
                request.break_off()
            else:
                request.answer(200, request.body, {"Attempt-Id": request.headers["Attempt-Id"], "Server-Stamp": "stamp-" + request.headers["Attempt-Id"], "Server-Load": "1,0,8"})

    def _order(self, request):
        order = json.loads(request.body)
        if order["fenceToken"] < self.fence:
            request.answer(412)
        elif order.get("expected", self.orders) != self.orders:
            request.answer(409)
        else:
            self.fence = order["fenceToken"]
            self.orders += 1
            self.versions[order["model"]] = order["version"]
            self.beat()
            request.answer(202)

    def _stream(self, request):
        model = request.headers.get("Model") or next(iter(self.versions))
        behind = int(request.headers.get("Last-Event-Id") or 0)
        request.send_response(200)
        for name, value in {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Attempt-Id": request.headers["Attempt-Id"],
                            "Server-Stamp": "stamp", "Weight-Versions": str(self.versions[model])}.items():
            if name != "Weight-Versions" or behind < self.events:
                request.send_header(name, value)
        request.end_headers()
        breaks = self.losing > 0
        self.losing -= breaks
        for number in range(behind + 1, self.events + 1):
            time.sleep(self.event_s)
            if breaks and number == behind + 3:
                request.break_off()
                return
            data = f"id: {number}\ndata: e{number}\n\n".encode()
            request.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            request.wfile.flush()
        request.wfile.write(b"0\r\n\r\n")


class Duties(Server):
    """Takes usage reports, of which the first figures of a window count, and orders of targets; a lower fence is refused."""

    def __init__(self):
        self.reports = {}  # window: counts
        self.differing = []
        self.orders = []  # of targets: (service, failure domain, count, spot)
        self.none_there = set()  # failure domains where none are to be had
        self.fences = {}  # of each duty
        super().__init__()

    def handle(self, request):
        fence = int(request.headers["Fence-Token"])
        if fence < self.fences.get(request.route, 0):
            request.answer(409)
            return
        self.fences[request.route] = fence
        report = json.loads(request.body)
        if request.route == "/usage":
            before = self.reports.setdefault(report["windowId"], report["counts"])
            if before != report["counts"]:
                self.differing.append(report)
        elif request.route == "/scale":
            if report["zone"] in self.none_there:
                request.answer(409)
                return
            self.orders.append((report["service"], report["zone"], report["desiredCount"], report.get("spot", False)))
        request.answer(200)


class Platform:
    def __init__(self):
        self.store = Store()
        self.duties = Duties()
        self.replicas = []

    def engine(self, service, zone, models, **more):
        return self._add(service, zone, models=models, **more)

    def service(self, service, zone, **more):
        return self._add(service, zone, **more)

    def _add(self, service, zone, **more):
        self.replicas.append(Replica(self, f"i-{len(self.replicas)}", service, zone, **more))
        return self.replicas[-1]

    def put_config(self, config):
        self.store.put("op/config", config)

    def name_version(self, model, version):
        self.store.put("op/version/" + model, {"model": model, "version": version})

    def runs(self, service):
        return [run for replica in self.replicas if replica.service == service for run in replica.runs]

    def close(self):
        for server in (self.store, self.duties, *self.replicas):
            server.close()
