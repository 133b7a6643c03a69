"""The operator adds a streaming route that comes to have the path of reward calls."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

EVENTS, EVENT_INTERVAL_S = 20, 0.1  # an item takes 2 s
WATCHED_FOR_S = 30
TRAINERS = ("silver", "hazard", "route")  # three, as on the sheet
ENDS_ALLOWED, MACHINES_ALLOWED = 3, 2  # "two at least [..] end by themselves three times in the day"


def case(world):
    judge = route("judge", "/judge/", "safe", "app", authExempt=True, timeoutMs=2000)
    added = route("added", "/judge/part/", "streaming", "app", streaming=True, authExempt=True)
    plain = route("plain", "/plain/", "safe", "app", timeoutMs=2000)
    rollouts = [route(name, f"/{name}/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60) for name in TRAINERS]
    services = [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}]
    tenants = [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}]
    world.put_config([judge, plain, *rollouts], services, tenants, version=3)
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.engine(zone, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        world.service(zone)
    world.start()
    for edge in world.edges:
        edge.supervise()
    trainer = Trainer(world, "key-one")

    # Step 1. A batch of each trainer is accepted; the path of its reward calls is on the route `judge`.
    batches = {}
    for name in TRAINERS:
        body, items = submission(name, 0, 2, 4, f"/{name}/", judge="/judge/part/x")
        if not trainer.submit(name, f"/{name}/", body):
            raise RuntimeError("a batch was not accepted")
        batches[name] = items
    time.sleep(0.5)

    # Step 2. A new version of the desired state adds a route with a longer prefix.
    routes = [judge, plain, *rollouts] + ([added] if disruption_wanted() else [route("added", "/other/", "streaming", "app", streaming=True, authExempt=True)])
    world.put_config(routes, services, tenants, version=5)
    world.note(f"version 5 acknowledged, with the routes {[(entry['name'], entry['prefix']) for entry in routes]}")

    # Step 3. The trainers read, and other callers send plain requests.
    outcomes = []

    def call_plainly():
        for number in range(int(WATCHED_FOR_S / 0.2)):
            edge = world.edges[number % len(world.edges)]
            answer = trainer.call("POST", "/plain/x", {"Attempt-Id": f"p{number}", "Deadline-Ms": "2000"}, b"plain", timeout=2, edge=edge)
            outcomes.append(answer.status if answer else None)
            time.sleep(0.2)

    caller = threading.Thread(target=call_plainly, daemon=True)
    caller.start()
    listed = dict.fromkeys(batches, 0)
    end = time.monotonic() + WATCHED_FOR_S
    while time.monotonic() < end:
        for name in batches:
            read = trainer.read(name, wait_ms=0) if any(edge.running for edge in world.edges) else None
            listed[name] = max(listed[name], len(read["results"]) if read else 0)
        time.sleep(0.5)
    caller.join(5)

    # Step 4. Processes that ended by themselves, with no disturbance on any machine.
    world.note(f"results listed: {listed}; plain requests: {len(outcomes)} sent, {sum(1 for status in outcomes if status == 200)} served")
    ends = {edge.name: [code for _, code in edge.own_ends] for edge in world.edges}
    for name, codes in ends.items():
        world.note(f"{name} ended by itself {len(codes)} times: {codes}")
    often = [name for name, codes in ends.items() if len(codes) >= ENDS_ALLOWED]
    if len(often) >= MACHINES_ALLOWED:
        return [f"Fault: the processes of {len(often)} of {len(ends)} machines ended by themselves {ENDS_ALLOWED} times or more, with no disturbance there"]
    return []


run_case(case, FOLDER / "record.txt")
