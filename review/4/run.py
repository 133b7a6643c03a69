"""Model replicas break off a few of their streams: these have no length and end in the middle of an event."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import HOST, Engine, disruption_wanted, engine_service, route, run_case  # noqa: E402

CLIENTS = 60  # each asks for one stream after the other
EVENTS, EVENT_INTERVAL_S = 25, 0.04
DEADLINE_MS = 9000
GARBLED_FOR_S = 5.0  # "for_s: how long (5)"
REPLICAS, GARBLING = 9, 4  # a share of .44; "share (.5)"
ONE_IN = 50  # "x (.02) of their answers"
FIRST = 25


class GarblingEngine(Engine):
    """A model replica. While it garbles, one answer in ONE_IN of those that garbling replicas begin has no length and stops within an event."""

    garbles = False
    counter_lock = threading.Lock()
    begun_while_garbling = 0

    def _is_garbled(self):
        if not self.garbles:
            return False
        with GarblingEngine.counter_lock:
            GarblingEngine.begun_while_garbling += 1
            return GarblingEngine.begun_while_garbling % ONE_IN == FIRST

    def _send_events(self, request, count):
        if not self._is_garbled():
            super()._send_events(request, count)
            return
        behind = int(request.headers.get("Last-Event-Id") or 0)
        self.platform.note(f"{self.name} will break off {request.headers['Attempt-Id']}")
        request.close_connection = True
        request.send_response(200)
        for name, value in {"Content-Type": "text/event-stream", "Connection": "close", "Attempt-Id": request.headers["Attempt-Id"], "Server-Stamp": "stamp",
                            "Weight-Versions": str(self.versions[request.headers["Model"]])}.items():
            request.send_header(name, value)
        request.end_headers()
        last = behind + (count - behind + 1) // 2
        for number in range(behind + 1, last + 1):
            time.sleep(self.event_interval_s)
            data = f"id: {number}\ndata: e{number}\n\n".encode()
            request.wfile.write(data if number < last else data[:len(data) // 2])
        raise BrokenPipeError  # the channel ends behind these bytes


def read_stream(world, edge, request_id):
    """Sends one request; returns the status, the proof, the bytes of the answer, and whether it ended as complete."""
    channel = http.client.HTTPConnection(*edge.front.split(":"), timeout=DEADLINE_MS / 1000)
    try:
        channel.request("POST", f"/talk/{request_id}", b"prompt",
                        {"Host": HOST, "Credential": "key-one", "Attempt-Id": request_id, "Deadline-Ms": str(DEADLINE_MS), "Model": "m", "Token-Count": "271,25", "Prompt-Prefix": f"{request_id}:271"})
        answer = channel.getresponse()
        status, proof = answer.status, answer.headers.get("Server-Stamp")
        try:
            body, complete = answer.read(), True
        except http.client.IncompleteRead as broken:
            body, complete = broken.partial, False
        return status, proof, body, complete
    except OSError as problem:
        world.note(f"{request_id}: no answer ({type(problem).__name__})")
        return None, None, b"", False
    finally:
        channel.close()


def case(world):
    world.put_config([route("talk", "/talk/", "streaming", "models", streaming=True, resumable=True)], [engine_service(["m"])], [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}], version=3)
    for i in range(REPLICAS):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], kind=GarblingEngine, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    world.start()

    # Step 1. Clients read streams, while some replicas garble a few of their answers.
    streams = {}
    for engine in world.engines[:GARBLING]:
        engine.garbles = disruption_wanted()
    world.note(f"replicas that garble: {[engine.name for engine in world.engines if engine.garbles]}")
    end = time.monotonic() + GARBLED_FOR_S

    def ask(index):
        number = 0
        while time.monotonic() < end:
            request_id = f"{index:02x}{number:02x}"
            streams[request_id] = read_stream(world, world.edges[(index + number) % len(world.edges)], request_id)
            number += 1

    clients = [threading.Thread(target=ask, args=(index,)) for index in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(max(0.0, end - time.monotonic()))
    for engine in world.engines:
        engine.garbles = False
    for client in clients:
        client.join()

    # Step 2. A stream that ends as complete holds all that a replica makes of it.
    whole = "".join(f"id: {n}\ndata: e{n}\n\n" for n in range(1, EVENTS + 1)).encode()
    broken = []
    for request_id, (status, proof, body, complete) in sorted(streams.items()):
        if status == 200 and complete and body == whole:
            continue
        world.note(f"{request_id}: status {status}, proof {proof}, {len(body)} of {len(whole)} bytes, {'ended as complete' if complete else 'broken off'}, ends with {body[-16:]!r}")
        if status == 200 and complete:
            broken.append(f"ORDER: the stream of {request_id} ended as complete with {len(body)} of {len(whole)} bytes")
    world.note(f"{len(streams)} streams; {GarblingEngine.begun_while_garbling} were begun by garbling replicas")
    return broken


run_case(case, FOLDER / "record.txt")
