"""A tenant submits a batch with line breaks in an item's path, an item's header and a reward call's path."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import HOST, Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

SENDER, OTHER = "acme", "rival"
WATCHED_FOR_S = 6


def smuggled(own_id, request_id, path):
    """The end of a path that completes its own request and begins another one, for another tenant."""
    return f" HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {own_id}\r\nContent-Length: 0\r\n\r\nPOST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\nTenant: {OTHER}\r\nX-Rest: "


def case(world):
    world.put_config([route("judge", "/judge/", "safe", "app", authExempt=True, timeoutMs=2000), route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60)],
                     [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
                     [{"name": SENDER, "apiKeys": ["key-one"], "priority": 1}, {"name": OTHER, "apiKeys": ["key-two"], "priority": 1}])
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.engine(zone, events=5, event_interval_s=0.02)
        world.service(zone)
    world.start()
    body, items = submission("b0", 0, 2, 2, "/steps/", judge="/judge/x")
    sent_ids = {*items, *("j" + item for item in items)}
    if disruption_wanted():
        document = json.loads(body)
        document["items"][0]["path"] += smuggled(items[0], "smuggled-one", "/steps/other")
        document["items"][1]["headers"]["X-Note"] = f"a note\r\nTenant: {OTHER}"
        document["items"][2]["scoringUrl"]["path"] += smuggled("j" + items[2], "smuggled-two", "/judge/other")
        body = json.dumps(document).encode()
    trainer = Trainer(world, "key-one")
    if not trainer.submit("b0", "/steps/", body):
        world.note("the batch was not accepted")
    time.sleep(WATCHED_FOR_S)
    trainer.end("b0")

    broken = []
    for replica in world.replicas:
        for path, headers in list(replica.executed_requests):
            request_id, tenants = headers.get("Attempt-Id"), headers.get_all("Tenant") or []
            world.note(f"{replica.name} ({replica.service}) ran {path} id={request_id} tenant={tenants}")
            if request_id and request_id not in sent_ids:
                broken.append(f"UNASKED: {replica.name} ran request {request_id} for {path}, which no client sent")
            if any(tenant != SENDER for tenant in tenants):
                broken.append(f"UNASKED: {replica.name} ran {path} with tenant {tenants}; the key is of {SENDER}")
    return sorted(set(broken))


run_case(case, FOLDER / "record.txt")
