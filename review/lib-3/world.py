"""A small deployment for the scripts of review 3: entry instances as the deploy file starts them
(`target/lovageraild entry`, settings file by $LOVAGERAIL_CONFIG), on the platform stand-in of
tests/process. Everything listens on loopback addresses and free ports, and ends with the script."""

import atexit
import base64
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "process"))
sys.dont_write_bytecode = True

import platform_standin  # noqa: E402
from platform_standin import Platform  # noqa: E402

platform_standin.ThreadingHTTPServer.handle_error = lambda *_: None  # connections that instances reset

PROGRAM = pathlib.Path(os.environ.get("LOVAGERAIL_BIN", ROOT / "target")) / "lovageraild"
HOST = "ficu95.example"
ZONES = ("caerdydd", "caerdydd", "abertawe", "wrecsam")
NAMES = ("edge-caerdydd-1", "edge-caerdydd-2", "edge-abertawe-1", "edge-wrecsam-1")
BOUNDS = {"configConvergeMs": 2000, "drainMs": 2000, "graceS": 8, "statusTtlS": 120, "usageWindowS": 5, "usageLateS": 10}

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 3, 2  # run-case makes 1 of a 3, as 1 is also the status of a Python error


class CouldNotRun(Exception):
    pass


class RecordingReplica(platform_standin.Replica):
    """Records each request in one entry: when it arrived, its path, the IP of its sender and whether it runs."""

    def __init__(self, *arguments, **more):
        self.requests = []
        super().__init__(*arguments, **more)

    def handle(self, request):
        is_named = request.headers.get("Target-Instance") in (None, self.name)
        runs = request.route not in ("/report", "/order") and is_named and not self.refuse_requests
        self.requests.append((time.monotonic(), request.route, request.client_address[0], runs))
        super().handle(request)


platform_standin.Replica = RecordingReplica


class Record:
    """What was sent, answered and run, with the time in seconds from the start; also printed."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            line = f"{self.now():8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class Answer:
    def __init__(self, status, body):
        self.status, self.body = status, body

    @property
    def json(self):
        return json.loads(self.body)


def call(address, method, path, headers, body=None, timeout=5.0):
    """One call on a new connection; status 0 if the connection fails or breaks, or no answer comes in time."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, b"")
    finally:
        connection.close()


def free_ports(count, addresses):
    """Ports that are free at all these addresses; the same on all machines, as on the platform."""
    out = []
    port = 21000 + os.getpid() * 13 % 8000
    while len(out) < count:
        port += 1
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
            out.append(port)
        except OSError:
            pass
    return out


class Entry:
    """An entry instance. Its settings are those that the platform fills into platform/settings.toml."""

    def __init__(self, world, index):
        self.world, self.name, self.zone, self.ip = world, NAMES[index], ZONES[index], f"127.0.{10 + index}.1"
        front, ready, control, metrics = world.ports
        self.front, self.ready, self.control = (f"{self.ip}:{port}" for port in (front, ready, control))
        self.settings = world.folder / f"{self.name}.toml"
        bounds = world.bounds
        turn_time = "0s" if world.fencing_required else "3000ms"
        self.settings.write_text(f"""
[instance]
name = "{self.name}"
failure_domain = "{self.zone}"
region = "cymru"
address = "{self.ip}"  # the source of its connections, as a machine has it

[listen]
callers = "{self.front}"
readiness = "{self.ready}"
instances = "{self.control}"
metrics = "{self.ip}:{metrics}"
seeds = [{", ".join(f'"127.0.{10 + i}.1:{control}"' for i in range(min(3, world.count)))}]

[store]
address = "{world.platform.store.address}"
max_value_bytes = 1048576

[duties]
address = "{world.platform.duties.address}"
usage_window = "{bounds['usageWindowS']}s"
usage_late = "{bounds['usageLateS']}s"
turn_time = "{turn_time}"

[targets]
connection_cost = "25ms"

[bounds]
configuration = "{bounds['configConvergeMs']}ms"
drain = "{bounds['drainMs']}ms"
stop = "{bounds['graceS']}s"
results_kept = "{bounds['statusTtlS']}s"

[machine]
memory_mb = 520
descriptors = 8200

[placement]
regions = {{ "caerdydd" = "cymru", "abertawe" = "cymru", "wrecsam" = "cymru" }}
""")
        self.process = None
        self.start()

    def start(self):
        self.log = open(self.world.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C", "LOVAGERAIL_CONFIG": str(self.settings)}
        self.process = subprocess.Popen([str(PROGRAM), "entry"], cwd=ROOT, env=environment, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                        start_new_session=True)
        self.world.record.add(f"platform: started {self.name}")

    def signal(self, number):
        self.world.record.add(f"platform: {signal.Signals(number).name} to {self.name}")
        os.kill(self.process.pid, number)

    def is_ready(self):
        return call(self.ready, "GET", "/ready", {}, timeout=1).status == 200

    def output(self):
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")


class World:
    def __init__(self, folder, count=4, bounds=None, fencing_required=True):
        if not PROGRAM.exists():
            raise CouldNotRun(f"{PROGRAM} is missing: build first")
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lovagerail-review-"))
        self.count, self.bounds, self.fencing_required = count, {**BOUNDS, **(bounds or {})}, fencing_required
        self.platform = Platform()
        self.entries = []
        atexit.register(self.close)
        self.ports = free_ports(4, [f"127.0.{10 + i}.1" for i in range(count)])

    def start(self, config):
        self.platform.put_config(config)
        self.record.add(f"operator: desired state {config['version']}")
        self.entries = [Entry(self, i) for i in range(self.count)]
        self.wait(lambda: all(entry.is_ready() for entry in self.entries), "all instances are ready", 20)
        time.sleep(4)  # contactMs, so that all are in touch

    def wait(self, check, what, seconds, every=0.02):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            out = check()
            if out:
                return out
            time.sleep(every)
        raise CouldNotRun(f"timed out after {seconds} s: {what}")

    def items(self):
        """All requests for items that reached replicas, in their order: when, the replica, path, the sender's IP, whether it ran."""
        return sorted(((at, replica, path, source, runs) for replica in self.platform.replicas for at, path, source, runs in replica.requests if path.startswith("/pule252/")), key=lambda item: item[0])

    def by_name(self, name):
        return next(entry for entry in self.entries if entry.name == name)

    def owner_in_store(self, batch):
        value = self.platform.store.value("batch/head/" + batch)
        return json.loads(value)["owner"] if value else None

    def close(self):
        for entry in self.entries:
            if entry.process.poll() is None:
                os.kill(entry.process.pid, signal.SIGKILL)
                entry.process.wait()
        self.platform.close()
        kept = os.environ.get("LOVAGERAIL_KEPT_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "routeType": kind, "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 3, "authExempt": False, **more}


def config(version, rollout, tenants=(("hule930", "key-one"),)):
    return {"version": version,
            "routes": [route("steps", "/pule252/", "rollout", "pool", **rollout), route("judge", "/pufi791/", "safe", "app", timeoutMs=1500, authExempt=True, maxAttempts=4),
                       route("plain", "/lohu930/", "safe", "app", timeoutMs=2000)],
            "services": [{"name": "pool", "healthPath": "/healthz", "maxConnections": 140, "engine": {"slots": 8, "kvCapacityTokens": 107253, "stride": 1, "models": [{"name": "m0"}]}},
                         {"name": "app", "healthPath": "/healthz", "maxConnections": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1} for name, key in tenants]}


def submission(batch, groups, size, events, desired=None):
    items = []
    for group in range(groups):
        for index in range(size):
            name = f"{batch}{group:02x}{index:02x}"
            items.append({"id": name, "path": f"/pule252/1/{name}", "headers": {"Model": "m0", "Token-Count": f"16,{events}", "Prompt-Prefix": f"aa{group:02x}:1000,{name}:16"},
                          "body": base64.b64encode(name.encode()).decode(), "tokens": 16 + events, "group": f"g{group}",
                          "scoringUrl": {"id": "5c" + name, "host": HOST, "path": "/pufi791/5e07", "body": base64.b64encode(b"judge").decode()}})
    return {"step": 1, "model": "m0", "minVersion": 1, "desiredCount": desired or groups, "items": items}


class Client:
    """A client of one tenant: a trainer, or one that reads and ends batches beside it."""

    def __init__(self, world, name, key="key-one"):
        self.world, self.name, self.headers = world, name, {"Host": HOST, "Credential": key}

    def submit(self, entry, batch, body):
        answer = call(entry.front, "POST", f"/pule252/{batch}", {**self.headers, "Attempt-Id": batch, "Deadline-Ms": "12000", "Content-Type": "application/json"}, json.dumps(body), 12)
        self.world.record.add(f"{self.name}: POST {batch} at {entry.name}: {answer.status}")
        return answer.status

    def read(self, entry, batch, after=0, wait_ms=0, quiet=False):
        """The status and the answer. Waits 1.5 s longer than it allows."""
        answer = call(entry.front, "GET", f"/lots/{batch}?after={after}", {**self.headers, "Wait-Ms": str(wait_ms)}, timeout=wait_ms / 1000 + 1.5)
        body = answer.json if answer.status == 200 else None
        if not quiet:
            got = f" total {body['total']}, {len(body['results'])} results" if body else ""
            self.world.record.add(f"{self.name}: GET {batch} after {after} at {entry.name}: {answer.status}{got}")
        return answer.status, body

    def end(self, entry, batch):
        answer = call(entry.front, "DELETE", f"/lots/{batch}", self.headers, timeout=4)
        self.world.record.add(f"{self.name}: DELETE {batch} at {entry.name}: {answer.status}")
        return answer.status


def main(case):
    """Runs case() and exits with its verdict; 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))  # so that what was started is ended
    try:
        code = case()
    except CouldNotRun as problem:
        print(f"could not run: {problem}", flush=True)
        code = EXIT_COULD_NOT_RUN
    sys.stdout.flush()
    sys.exit(code)
