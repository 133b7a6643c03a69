"""The operator removes the route of a batch whose results have been read; they are read again."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

CONVERGED_S = 3.0  # configConvergeMs is 2 s
READ_FOR_S = 4.0


def case(world):
    plain = route("plain", "/plain/", "safe", "app", timeoutMs=2000)
    steps = route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60)
    services = [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}]
    tenants = [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}]
    world.put_config([plain, steps], services, tenants, version=3)
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.engine(zone, events=5, event_interval_s=0.02)
        world.service(zone)
    world.start()
    trainer = Trainer(world, "key-one")

    # Step 1. A batch is accepted and completed, and its results are read at all machines.
    body, items = submission("b0", 0, 2, 4, "/steps/")
    if not trainer.submit("b0", "/steps/", body):
        raise RuntimeError("the batch was not accepted")
    world.wait(lambda: len((trainer.read("b0") or {}).get("results", [])) == len(items), "all results are listed")
    time.sleep(1)
    for edge in world.edges:
        read = trainer.read("b0", edge=edge)
        world.note(f"{edge.name}: {len(read['results'])} of {read['total']} results")

    # Step 2. A new version of the desired state removes the route.
    remaining = [plain] if disruption_wanted() else [plain, {**steps, "timeoutMs": 9000}]
    world.put_config(remaining, services, tenants, version=5)
    world.note(f"version 5 acknowledged, with the routes {[entry['name'] for entry in remaining]}")
    time.sleep(CONVERGED_S)

    # Step 3. The results are read again: they are kept for statusTtlS after the submission.
    broken = set()
    end = time.monotonic() + READ_FOR_S
    while time.monotonic() < end:
        for edge in world.edges:
            answer = trainer.call("GET", "/lots/b0?after=0", edge=edge)
            status = answer.status if answer else None
            world.note(f"{edge.name}: GET /lots/b0 -> {status}")
            if status in (404, 410):
                broken.add(f"LOST: {edge.name} answers {status} for a batch that was accepted, was not ended, and is kept for {world.bounds['statusTtlS']} s")
        time.sleep(1)
    return sorted(broken)


run_case(case, FOLDER / "record.txt")
