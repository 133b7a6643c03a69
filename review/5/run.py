"""The machine that runs a step of a `singleVersion` route is killed and comes back, after a new version was named."""

import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import RESTART_DELAY_S, Engine, Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

GROUPS, GROUP_SIZE = 6, 4
EVENTS, EVENT_INTERVAL_S = 100, 0.06  # an item takes 6 s
LOAD_S = 0.9  # "A change of version takes 0.9 s"
PATIENCE_S = 20  # of the trainer, for the step
NAMED_AFTER_S, KILLED_AFTER_S = 2.8, 4.7
CONTACT_S = 3.0
AT_NO_REPLICA_S = 5.0
NO_VERSION_NAMED_FOR_S = 6.0


class VersionedEngine(Engine):
    """A model replica that takes LOAD_S to change its version. Its runs wait meanwhile and go on under the new version, as the mode `retain` says."""

    def __init__(self, *args, **more):
        self.loading = threading.Event()
        self.refused = []  # (time, item, version expected, own version)
        super().__init__(*args, **more)

    def handle(self, request):
        expected = request.headers.get("Expect-Version")
        model = request.headers.get("Model")
        if request.route == "/report":
            models = [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]
            request.respond(200, {"stage": "hybrid", "models": models, "busy": self.loading.is_set(), "sequence": self.orders_applied})
        elif request.route != "/order" and model and self.loading.is_set():
            request.respond(503, None, {"Not-Executed": "1"})
        elif request.route != "/order" and model and expected and int(expected) != self.versions[model]:
            self.refused.append((time.monotonic(), request.headers.get("Attempt-Id"), int(expected), self.versions[model]))
            request.respond(421, None, {"Instance-Id": self.name})
        else:
            super().handle(request)

    def _order(self, request):
        order = json.loads(request.body)
        assert order["mode"] == "retain"
        if order["fenceToken"] < self.highest_fencing_number:
            request.respond(412)
        elif self.loading.is_set() or order.get("expected", self.orders_applied) != self.orders_applied:
            request.respond(409)
        elif self.versions[order["model"]] == order["version"]:
            request.respond(200)
        else:
            self.highest_fencing_number = order["fenceToken"]
            self.orders_applied += 1
            self.loading.set()

            def load():
                time.sleep(LOAD_S)
                self.versions[order["model"]] = order["version"]
                self.loading.clear()
                self.publish_heartbeat()

            threading.Thread(target=load, daemon=True).start()
            request.respond(202)

    def _send_events(self, request, count):
        model = request.headers["Model"]
        behind = int(request.headers.get("Last-Event-Id") or 0)
        version = self.versions[model]
        request.send_response(200)
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Attempt-Id": request.headers["Attempt-Id"], "Server-Stamp": "stamp"}
        if behind < count:
            headers["Weight-Versions"] = str(version)
        for name, value in headers.items():
            request.send_header(name, value)
        request.end_headers()
        for number in range(behind + 1, count + 1):
            time.sleep(self.event_interval_s)
            while self.loading.is_set():
                time.sleep(0.02)
            changed = f"weight-versions: {self.versions[model]}\n" if self.versions[model] != version else ""
            version = self.versions[model]
            data = f"{changed}id: {number}\ndata: e{number}\n\n".encode()
            request.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            request.wfile.flush()
        request.wfile.write(b"0\r\n\r\n")


def longest_idle(runs, begin, end):
    """The longest span inside [begin, end] in which none of these runs was at a replica."""
    longest, idle_since = 0.0, begin
    for run in runs:
        longest = max(longest, min(run["began"], end) - idle_since)
        idle_since = max(idle_since, run["ended"] or end)
    return max(longest, end - idle_since)


def case(world):
    world.put_config([route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60, singleVersion=True)], [engine_service(["m"])],
                     [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}])
    for i in range(9):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], kind=VersionedEngine, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    world.start()
    trainer = Trainer(world, "key-one")

    # Step 1. Version 2 is named and step 2 asked, which allows version 1 and newer. Steps before it are open too, and the
    # end of the next one names version 3 while step 2 runs.
    def name(version):
        world.store.put("op/version/m", {"model": "m", "version": version})
        world.note(f"version {version} is named")

    name(2)
    body, items = submission("b0", 2, GROUPS, GROUP_SIZE, "/steps/", min_version=1)
    time.sleep(0.1)
    if not trainer.submit("b0", "/steps/", body):
        raise RuntimeError("the batch was not accepted")
    submitted = time.monotonic()
    time.sleep(NAMED_AFTER_S)
    name(3)
    named = time.monotonic()

    # Step 2. The machine that runs the step is killed and started again.
    time.sleep(KILLED_AFTER_S - NAMED_AFTER_S)
    back = time.monotonic()
    if disruption_wanted():
        owner = world.owner_of("b0")
        world.note(f"SIGKILL for {owner.name}")
        owner.signal(signal.SIGKILL)
        owner.process.wait()
        time.sleep(RESTART_DELAY_S)
        owner.start()
        back = time.monotonic()

    # Step 3. The trainer reads until the step is complete or out of time.
    read = None
    while time.monotonic() < submitted + PATIENCE_S:
        answer = trainer.read("b0")
        if answer:
            if not read or len(answer["results"]) != len(read["results"]):
                world.note(f"results {len(answer['results'])}")
            read = answer
        if read and len(read["results"]) == read["total"]:
            break
        time.sleep(0.3)
    end = time.monotonic()

    # Step 4. The record, and the rule.
    runs = world.runs()
    for run in runs:
        world.note(f"run of {run['item']} until {(run['ended'] or 0) - world.began:.3f}, {'complete' if run['complete'] else 'broken off'}", run["began"])
    for engine in world.engines:
        asked = [f"{at - world.began:.3f}" for at, _, _, _ in engine.refused]
        world.note(f"{engine.name} has version {engine.versions['m']}; refused {len(asked)} runs that expected another one" + (f", from {asked[0]} until {asked[-1]}" if asked else ""))
    world.note(f"{len(read['results']) if read else 0} of {len(items)} results read, of versions {sorted({str(result['versions']) for result in read['results']}) if read else []}")
    if read and len(read["results"]) == read["total"]:
        return []
    steady = max(back + CONTACT_S, named + NO_VERSION_NAMED_FOR_S)
    busy = sum(1 for run in runs if run["began"] <= end - 1 and (run["ended"] or end) > steady)
    if busy > len(world.engines) * 8 / 2:
        return []  # the replicas were half full
    broken = []
    for item in items:
        own = [run for run in runs if run["item"] == item]
        idle = longest_idle(own, steady, end - 1)
        if not any(run["complete"] for run in own) and idle >= AT_NO_REPLICA_S:
            broken.append(f"LOST: the step ran out of time; item {item}, finished by no replica, was at none for {idle:.1f} s of steady state")
    return broken


run_case(case, FOLDER / "record.txt")
