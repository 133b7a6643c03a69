"""The operator removes a streaming route while requests on it wait for their first event."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import HOST, Engine, disruption_wanted, engine_service, quiet, route, run_case  # noqa: E402

REQUESTS = 12
EVENTS = 10
FIRST_EVENT_AFTER_S = 2.0  # the replicas read long prompts
DEADLINE_MS = 9000


class SlowEngine(Engine):
    """A model replica whose answer begins with its first event."""

    def _stream(self, request):
        time.sleep(FIRST_EVENT_AFTER_S)
        super()._stream(request)


def read_stream(world, edge, request_id):
    """Sends one request; returns the status, the data of the events, and whether the answer ended as complete."""
    channel = http.client.HTTPConnection(*edge.front.split(":"), timeout=DEADLINE_MS / 1000)
    try:
        channel.request("POST", f"/talk/{request_id}", b"prompt",
                        {"Host": HOST, "Credential": "key-one", "Attempt-Id": request_id, "Deadline-Ms": str(DEADLINE_MS), "Model": "m", "Token-Count": "20000,10", "Prompt-Prefix": f"{request_id}:20000"})
        answer = channel.getresponse()
        status, proof = answer.status, answer.headers.get("Server-Stamp")
        try:
            body, complete = answer.read(), True
        except http.client.IncompleteRead as broken:
            body, complete = broken.partial, False
        data = [line[6:] for line in body.decode().splitlines() if line.startswith("data: ")]
        return status, proof, data, complete
    except OSError as problem:
        world.note(f"{request_id}: no answer ({type(problem).__name__})")
        return None, None, [], False
    finally:
        channel.close()


def case(world):
    plain = route("plain", "/plain/", "safe", "app", timeoutMs=2000)
    talk = route("talk", "/talk/", "streaming", "models", streaming=True)
    services = [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}]
    tenants = [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}]
    world.put_config([plain, talk], services, tenants, version=3)
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.replicas.append(quiet(SlowEngine(world, f"i-{len(world.replicas)}", "models", zone, models=["m"], events=EVENTS, event_interval_s=0.05)))
        world.service(zone)
    world.start()

    # Step 1. Clients ask for streams.
    answers = {}

    def ask(index):
        request_id = f"c{index:02}"
        answers[request_id] = read_stream(world, world.edges[index % len(world.edges)], request_id)

    clients = [threading.Thread(target=ask, args=(index,)) for index in range(REQUESTS)]
    for client in clients:
        client.start()
    time.sleep(0.5)

    # Step 2. A new version of the desired state removes the route, while they wait for the first event.
    world.put_config([plain] if disruption_wanted() else [plain, {**talk, "timeoutMs": 9500}], services, tenants, version=5)
    world.note(f"version 5 acknowledged; requests at replicas: {len(world.runs()) or sum(len(engine.executed_requests) for engine in world.engines)}")
    for client in clients:
        client.join()

    # Step 3. A stream that ends as complete holds all events that its replica made.
    whole = [f"e{number}" for number in range(1, EVENTS + 1)]
    broken = []
    for request_id, (status, proof, data, complete) in sorted(answers.items()):
        world.note(f"{request_id}: status {status}, proof {proof}, {len(data)} of {EVENTS} events, {'ended as complete' if complete else 'broken off'}")
        if status == 200 and complete and data != whole:
            broken.append(f"ORDER: the stream of {request_id} ended as complete with {len(data)} of its {EVENTS} events")
    for run in world.runs():
        world.note(f"replica ran {run['item']}, {'complete' if run['complete'] else 'broken off'}", run["began"])
    return broken


run_case(case, FOLDER / "record.txt")
