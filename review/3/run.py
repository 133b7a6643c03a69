"""The operator removes a streaming route, and adds one below the prefix of a plain route, while requests are at replicas."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import HOST, Engine, Service, Trainer, disruption_wanted, engine_service, quiet, route, run_case  # noqa: E402

STREAMS, PLAIN_REQUESTS = 12, 8
EVENTS = 10
FIRST_EVENT_AFTER_S = 2.0  # the replicas read long prompts
DEADLINE_MS = 9000


class SlowEngine(Engine):
    """A model replica whose answer begins with its first event."""

    def _stream(self, request):
        time.sleep(FIRST_EVENT_AFTER_S)
        super()._stream(request)


class SlowService(Service):
    """A replica of a plain service that works for long."""

    def handle(self, request):
        if request.route.startswith("/plain/"):
            time.sleep(FIRST_EVENT_AFTER_S)
        super().handle(request)


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
    plain = route("plain", "/plain/", "safe", "app")
    talk = route("talk", "/talk/", "streaming", "models", streaming=True)
    added = route("added", "/plain/part/", "streaming", "models", streaming=True)
    services = [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}]
    tenants = [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}]
    world.put_config([plain, talk], services, tenants, version=3)
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.engine(zone, kind=SlowEngine, events=EVENTS, event_interval_s=0.05)
        world.replicas.append(quiet(SlowService(world, f"i-{len(world.replicas)}", "app", zone)))
    world.start()

    # Step 1. Clients ask for streams and for plain answers.
    trainer = Trainer(world, "key-one")
    streams, plain_answers = {}, {}

    def ask_for_stream(index):
        request_id = f"c{index:02}"
        streams[request_id] = read_stream(world, world.edges[index % len(world.edges)], request_id)

    def ask_plainly(index):
        request_id = f"p{index:02}"
        plain_answers[request_id] = trainer.call("POST", f"/plain/part/{request_id}", {"Attempt-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}, request_id.encode(),
                                                 timeout=DEADLINE_MS / 1000, edge=world.edges[index % len(world.edges)])

    clients = [threading.Thread(target=ask_for_stream, args=(index,)) for index in range(STREAMS)] + [threading.Thread(target=ask_plainly, args=(index,)) for index in range(PLAIN_REQUESTS)]
    for client in clients:
        client.start()
    time.sleep(0.5)

    # Step 2. A new version of the desired state comes while they wait.
    routes = [plain, added] if disruption_wanted() else [plain, {**talk, "timeoutMs": 9500}]
    world.put_config(routes, services, tenants, version=5)
    world.note(f"version 5 acknowledged, with the routes {[entry['name'] for entry in routes]}")
    for client in clients:
        client.join()

    # Step 3. A stream that ends as complete holds all events that its replica made.
    whole = [f"e{number}" for number in range(1, EVENTS + 1)]
    broken = []
    for request_id, (status, proof, data, complete) in sorted(streams.items()):
        world.note(f"{request_id}: status {status}, proof {proof}, {len(data)} of {EVENTS} events, {'ended as complete' if complete else 'broken off'}")
        if status == 200 and complete and data != whole:
            broken.append(f"ORDER: the stream of {request_id} ended as complete with {len(data)} of its {EVENTS} events")
    # A plain answer is the replica's whole body, here what the client sent.
    for request_id, answer in sorted(plain_answers.items()):
        world.note(f"{request_id}: " + (f"status {answer.status}, proof {answer.headers.get('Server-Stamp')}, body {answer.body!r}" if answer else "no answer"))
        if answer and answer.status == 200 and answer.body != request_id.encode():
            broken.append(f"MIXED: {request_id} got a success with the body {answer.body!r}")
    for run in world.runs():
        world.note(f"replica ran {run['item']}, {'complete' if run['complete'] else 'broken off'}", run["began"])
    return broken


run_case(case, FOLDER / "record.txt")
