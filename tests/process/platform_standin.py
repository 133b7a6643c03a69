"""An in-process stand-in of the platform that entry instances run on: the metadata store,
model replicas, plain service replicas, and the receiver of usage reports and scale
orders, each a separate server on a loopback port. Tests switch faults on by setting
attributes.

    platform = Platform()
    platform.engine("pool", "north", models=["m"])
    platform.service("shop", "south")
    platform.put_config({...})
"""

import base64
import contextlib
import ctypes
import ipaddress
import json
import socket
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace

from kit import free_ports

WATCH_POLL_INTERVAL_S = 0.02
UNANSWERED_HOLD_S = 10  # longer than any caller waits
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27  # of Linux; missing in Python's socket module
BPF_LOAD_WORD, BPF_JUMP_IF_EQUAL, BPF_RETURN = 0x20, 0x15, 0x06
BPF_SOURCE_IP = 0xFFF00000 + 12  # its offset in the IP header
BPF_WHOLE_PACKET = 0xFFFFFFFF


def drop_packets_from(sock, addresses):
    """Makes the kernel drop all packets from these IPs to the socket, those that open a connection included."""
    count = len(addresses)
    program = [(BPF_LOAD_WORD, 0, 0, BPF_SOURCE_IP)]
    program += [(BPF_JUMP_IF_EQUAL, count - i, 0, int(ipaddress.ip_address(address))) for i, address in enumerate(addresses)]
    program += [(BPF_RETURN, 0, 0, BPF_WHOLE_PACKET), (BPF_RETURN, 0, 0, 0)]
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *instruction) for instruction in program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HxxxxxxP", len(program), ctypes.addressof(code)))


class Server:
    """A threaded HTTP server that passes each call to handle(request) of the subclass."""

    def __init__(self):
        self.extra_headers = {}  # sent with each answer
        self.connections = {}  # open ones, each with the routes of its requests so far
        self.closed_connections = []  # the routes of each
        self.resetting = set()  # IPs whose connections are reset
        self.port = free_ports()
        self.address = f"127.0.0.1:{self.port}"
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                self.routes = server.connections[self.connection] = []

            def finish(self):
                server.closed_connections.append(server.connections.pop(self.connection))
                super().finish()

            def _handle(self):
                if self.client_address[0] in server.resetting:
                    self.close_connection = True
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.connection.close()
                    return
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                parts = urllib.parse.urlsplit(self.path)
                self.route = parts.path
                self.routes.append(self.route)
                self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                try:
                    server.handle(self)
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = do_PUT = _handle

            def log_message(self, *_):
                pass

            def respond(self, status, body=None, headers=None):
                data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
                self.send_response(status)
                for name, value in (headers or {}).items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def end_headers(self):
                for name, value in server.extra_headers.items():
                    self.send_header(name, value)
                super().end_headers()

            def break_connection(self):
                self.close_connection = True
                self.connection.close()

        self._server = ThreadingHTTPServer(("127.0.0.1", self.port), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def partition_from(self, addresses, how="silent"):
        """Cuts the server off from callers at these IPs until heal(). `how`: "silent" drops all packets, "new" those of new
        connections, so that open ones live on; "reset" resets connections with their first request."""
        if how == "new":
            drop_packets_from(self._server.socket, addresses)
            return
        if how == "reset":
            self.resetting = set(addresses)
            return
        for sock in (self._server.socket, *list(self.connections)):
            with contextlib.suppress(OSError):  # closed meanwhile
                drop_packets_from(sock, addresses)

    def heal(self):
        self.resetting = set()
        for sock in (self._server.socket, *list(self.connections)):
            with contextlib.suppress(OSError):  # closed meanwhile, or has no filter
                sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Store(Server):
    """The metadata store: linearizable keys with leases, watches and conditional writes."""

    def __init__(self):
        self.lock = threading.Condition()
        self.keys = {}  # key: [value bytes, revision of the last change, revision of creation, lease]
        self.events = []  # (revision, key, deleted)
        self.revision = 1
        self.leases = {}  # id: [expiry time, TTL in seconds]
        self.calls = []  # (method, route) in the order of arrival
        self.refused_callers = set()  # {"all"} refuses every call with 503; a caller's port is unknown, so single callers cannot be refused
        self.list_page_size = 50  # rows per response of a listing
        self.lose_answers = 0  # number of writes to apply without answering; the connection is closed
        self.silent_until = 0  # monotonic time; calls until then get no answer
        self.lose_answers_to = []  # prefixes of keys: for each, the next write of such a key is applied without answering
        self.refuse_writes_to = set()  # prefixes of keys whose writes are refused with 503
        self.listing_delays_s = {}  # by prefix of the listing's own prefix
        self.late_writes_to = {}  # by prefix of keys: delay of the next write of such a key, which is not answered; its condition holds or not at that time
        self.on_watch = lambda prefix, source: None  # called with the prefix of each watch and the IP that it comes from
        self.unanswered_submissions = 0  # number of batch submissions to apply without answering while the connection stays open
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

    def keys_with_prefix(self, prefix):
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
        for lease in [lease_id for lease_id, (end, _) in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        """Ends a lease and removes its keys."""
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, entry in self.keys.items() if entry[3] == lease]:
            self._remove(key)

    def _key_json(self, key):
        value, changed, created, lease = self.keys[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": changed, "created": created, "lease": lease}

    def handle(self, request):
        silence = self.silent_until - time.monotonic()
        if silence > 0:
            time.sleep(silence)
            request.break_connection()
            return
        with self.lock:
            self.calls.append((request.command, request.route))
            if self.refused_callers:
                request.respond(503)
                return
            self._expire()
        operation = (request.command, request.route.split("/")[1])
        if operation == ("GET", "kv-watch"):
            self._watch(request)
            return
        if operation[1] == "kv-range":
            time.sleep(sum(delay for prefix, delay in self.listing_delays_s.items() if request.query["prefix"].startswith(prefix)))
        written_keys = [row["key"] for row in json.loads(request.body).get("setKeys", [])] if operation[1] == "kv-txn" else []
        if any(key.startswith(tuple(self.refuse_writes_to)) for key in written_keys):
            request.respond(503)
            return
        if late_prefix := next((prefix for prefix in self.late_writes_to if any(key.startswith(prefix) for key in written_keys)), None):
            threading.Timer(self.late_writes_to.pop(late_prefix), self._write_late, args=(request.body,)).start()
            time.sleep(UNANSWERED_HOLD_S)
            request.break_connection()
            return
        with self.lock:
            status, body = getattr(self, {"kv-key": "_get_key", "kv-range": "_list_range", "kv-txn": "_commit_transaction",
                                          "kv-lease": "_grant_lease", "kv-keep": "_keep_lease", "kv-lease-end": "_revoke_lease"}[operation[1]])(request)
            drop_answer = operation[1] == "kv-txn" and self.lose_answers > 0
            self.lose_answers -= drop_answer
            lost_prefix = next((prefix for prefix in self.lose_answers_to if any(key.startswith(prefix) for key in written_keys)), None)
            if lost_prefix is not None:
                self.lose_answers_to.remove(lost_prefix)
                drop_answer = True
            hold_open = operation[1] == "kv-txn" and self.unanswered_submissions > 0 and b"batch/body/" in request.body
            self.unanswered_submissions -= hold_open
        if hold_open:
            time.sleep(UNANSWERED_HOLD_S)
            request.break_connection()
        elif drop_answer:
            request.break_connection()
        else:
            request.respond(status, body)

    def _write_late(self, body):
        with self.lock:
            self._expire()
            self._commit_transaction(SimpleNamespace(body=body))

    def _get_key(self, request):
        key = request.query["key"]
        return (200, {**self._key_json(key), "currentRev": self.revision}) if key in self.keys else (404, {})

    def _list_range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        rows = [self._key_json(key) for key in sorted(self.keys) if key.startswith(prefix) and key > after]
        return 200, {"items": rows[:self.list_page_size], "hasMore": len(rows) > self.list_page_size, "currentRev": self.revision}

    def _watch(self, request):
        prefix, after = request.query["prefix"], int(request.query["after"])
        self.on_watch(prefix, request.client_address[0])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        with self.lock:
            while True:
                self._expire()
                matching = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
                if matching or time.monotonic() >= end or self.refused_callers:
                    break
                self.lock.wait(WATCH_POLL_INTERVAL_S)
            rows = [{"key": key, "revision": at, "deleted": True} if deleted or key not in self.keys else self._key_json(key) for at, key, deleted in matching]
            body = {"events": rows, "currentRev": self.revision}
        request.respond(200, body)

    def _commit_transaction(self, request):
        transaction = json.loads(request.body)
        expected = transaction.get("expected", [])
        if any((self.keys[row["key"]][1] if row["key"] in self.keys else 0) != row["revision"] for row in expected):
            items = [self._key_json(row["key"]) if row["key"] in self.keys else {"key": row["key"], "revision": 0} for row in expected]
            return 412, {"items": items}
        if any(row.get("lease") and row["lease"] not in self.leases for row in transaction.get("setKeys", [])):
            return 404, {}
        self.revision += 1  # a transaction takes one revision
        for row in transaction.get("setKeys", []):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in transaction.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _grant_lease(self, request):
        seconds = json.loads(request.body)["ttlMs"] / 1000
        lease = len(self.calls) + 1000
        self.leases[lease] = [time.monotonic() + seconds, seconds]
        return 200, {"lease": lease, "ttlMs": int(seconds * 1000)}

    def _keep_lease(self, request):
        lease = int(request.route.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        return 200, {"ttlMs": int(self.leases[lease][1] * 1000)}

    def _revoke_lease(self, request):
        lease = int(request.route.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}


class Replica(Server):
    """A replica that runs requests: a plain service echoes the body, a model replica streams `events` events."""

    def __init__(self, platform, name, service, zone, models=(), events=5, event_interval_s=0.02, software="v1"):
        self.platform, self.name, self.service, self.zone = platform, name, service, zone
        self.versions = {model: 1 for model in models}
        self.events, self.event_interval_s = events, event_interval_s
        self.software = software  # version of its software
        self.event_text = "e{number}"  # data of an event; may use {software}
        self.arrivals = []  # (monotonic time, path) of all requests, in the order of arrival
        self.arrival_sources = []  # (monotonic time, IP of the sender) of the same requests
        self.executed_requests = []  # (path, headers) of requests that started to run
        self.refuse_requests = False  # answers 503 with Not-Executed
        self.answer_delay_s = 0  # of a plain answer
        self.answer_body = None  # of a plain answer; None: the body of the request
        self.requests_to_break = 0  # number of requests to break: a stream after its third event, a plain one before its answer
        self.crashes_left = 0  # number of requests that find it crashing; it restarts at once
        self.orders_applied = 0
        self.highest_fencing_number = 0
        self.state = "ready"
        self.incarnation = 1
        super().__init__()
        self.publish_heartbeat()

    def publish_heartbeat(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software, "slots": 8, "state": self.state, "coldRemainingMs": 0,
                 "sequence": 1, "born": self.incarnation}
        if self.versions:
            entry["models"] = [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]
        self.platform.store.put("servers/" + self.name, entry)

    def handle(self, request):
        self.arrivals.append((time.monotonic(), request.route))
        self.arrival_sources.append((time.monotonic(), request.client_address[0]))
        if request.route == "/report":
            models = [{"name": name, "version": version, "adapters": []} for name, version in (self.versions or {}).items()]
            request.respond(200, {"stage": "hybrid", "models": models, "busy": False, "sequence": self.orders_applied})
        elif request.route == "/order":
            self._order(request)
        elif request.headers.get("Target-Instance") not in (None, self.name):
            request.respond(421, None, {"Instance-Id": self.name})
        elif self.refuse_requests:
            request.respond(503, None, {"Not-Executed": "1"})
        else:
            self.executed_requests.append((request.route, request.headers))
            is_crashing = self.crashes_left > 0
            self.crashes_left -= is_crashing
            if is_crashing or "poison" in request.route:  # crashes and restarts at once
                self.incarnation += 1
                self.publish_heartbeat()
                request.break_connection()
            elif self.versions:
                self._stream(request)
            elif self.requests_to_break > 0:
                self.requests_to_break -= 1
                request.break_connection()
            else:
                time.sleep(self.answer_delay_s)
                request.respond(200, request.body if self.answer_body is None else self.answer_body, {"Attempt-Id": request.headers["Attempt-Id"], "Server-Stamp": "stamp-" + request.headers["Attempt-Id"], "Server-Load": "1,0,8"})

    def _order(self, request):
        order = json.loads(request.body)
        if order["fenceToken"] < self.highest_fencing_number:
            request.respond(412)
        elif order.get("expected", self.orders_applied) != self.orders_applied:
            request.respond(409)
        else:
            self.highest_fencing_number = order["fenceToken"]
            self.orders_applied += 1
            self.versions[order["model"]] = order["version"]
            self.publish_heartbeat()
            request.respond(202)

    def _stream(self, request):
        model = request.headers.get("Model") or next(iter(self.versions))
        last_event_id = int(request.headers.get("Last-Event-Id") or 0)
        request.send_response(200)
        for name, value in {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Attempt-Id": request.headers["Attempt-Id"],
                            "Server-Stamp": "stamp", "Weight-Versions": str(self.versions[model])}.items():
            if name != "Weight-Versions" or last_event_id < self.events:
                request.send_header(name, value)
        request.end_headers()
        break_stream = self.requests_to_break > 0
        self.requests_to_break -= break_stream
        for number in range(last_event_id + 1, self.events + 1):
            time.sleep(self.event_interval_s)
            if break_stream and number == last_event_id + 3:
                request.break_connection()
                return
            text = self.event_text.format(number=number, software=self.software)
            data = f"id: {number}\ndata: {text}\n\n".encode()
            request.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            request.wfile.flush()
        request.wfile.write(b"0\r\n\r\n")


class DutyReceiver(Server):
    """Receives usage reports and scale orders from the duty holders.

    The first report of a usage window counts. Calls with a lower fencing number than an
    earlier call to the same path are refused, unless checks_fencing is off.
    """

    def __init__(self):
        self.reports = {}  # usage window: counts
        self.differing_reports = []
        self.scale_orders = []  # (service, failure domain, desired count, whether for spot targets)
        self.domains_without_capacity = set()  # scale orders for these failure domains are refused
        self.highest_fencing_numbers = {}  # by path, so one for each duty
        self.checks_fencing = True
        self.outdated_calls = []  # (path, fencing number) of calls that took effect after one with a higher number
        self.effect_delays = []  # s, for the next calls, which get no answer
        self.delayed_calls = 0
        super().__init__()

    def handle(self, request):
        delayed = bool(self.effect_delays)
        if delayed:
            self.delayed_calls += 1
            time.sleep(self.effect_delays.pop())
        fencing_number = int(request.headers["Fence-Token"])
        if fencing_number < self.highest_fencing_numbers.get(request.route, 0):
            self.outdated_calls.append((request.route, fencing_number))
            if self.checks_fencing:
                request.respond(409)
                return
        self.highest_fencing_numbers[request.route] = max(fencing_number, self.highest_fencing_numbers.get(request.route, 0))
        if delayed:
            request.break_connection()
            return
        report = json.loads(request.body)
        if request.route == "/usage":
            first_counts = self.reports.setdefault(report["windowId"], report["counts"])
            if first_counts != report["counts"]:
                self.differing_reports.append(report)
        elif request.route == "/scale":
            if report["zone"] in self.domains_without_capacity:
                request.respond(409)
                return
            self.scale_orders.append((report["service"], report["zone"], report["desiredCount"], report.get("spot", False)))
        request.respond(200)


class Platform:
    """The store, the receiver of duty calls, and the replicas, which announce themselves in the store."""

    def __init__(self):
        self.store = Store()
        self.duties = DutyReceiver()
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

    def publish_version(self, model, version):
        self.store.put("op/version/" + model, {"model": model, "version": version})

    def executed_requests(self, service):
        return [request for replica in self.replicas if replica.service == service for request in replica.executed_requests]

    def close(self):
        for server in (self.store, self.duties, *self.replicas):
            server.close()
