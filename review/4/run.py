"""A model replica whose answers have no length crashes in the middle of the events of its streams."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import HOST, Engine, disruption_wanted, engine_service, route, run_case  # noqa: E402

STREAMS = 24
EVENTS, EVENT_INTERVAL_S = 25, 0.1
CRASH_AFTER_S = 1.0
ENTRY_GONE_AFTER_S = 3.6  # "after three check-in intervals of silence"
DEADLINE_MS = 9000


class UnframedEngine(Engine):
    """A model replica whose answers have no length and end with their channel. A crash ends its channels in the middle of an event."""

    crashed = False

    def _send_events(self, request, count):
        behind = int(request.headers.get("Last-Event-Id") or 0)
        request.close_connection = True
        request.send_response(200)
        for name, value in {"Content-Type": "text/event-stream", "Connection": "close", "Attempt-Id": request.headers["Attempt-Id"], "Server-Stamp": "stamp",
                            "Weight-Versions": str(self.versions[request.headers["Model"]])}.items():
            request.send_header(name, value)
        request.end_headers()
        for number in range(behind + 1, count + 1):
            time.sleep(self.event_interval_s)
            data = f"id: {number}\ndata: e{number}\n\n".encode()
            if self.crashed:
                request.wfile.write(data[:len(data) // 2])  # the channel ends behind these bytes
                raise BrokenPipeError
            request.wfile.write(data)

    def crash(self):
        self.crashed = True
        entry_end = threading.Timer(ENTRY_GONE_AFTER_S, self.platform.store.remove, ["servers/" + self.name])
        entry_end.daemon = True
        entry_end.start()

    def handle(self, request):
        if self.crashed:
            request.break_connection()
        else:
            super().handle(request)


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
    for i in range(9):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], kind=UnframedEngine, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    world.start()

    # Step 1. Clients ask for streams.
    streams = {}

    def ask(index):
        request_id = f"c{index:02x}"
        streams[request_id] = read_stream(world, world.edges[index % len(world.edges)], request_id)

    clients = [threading.Thread(target=ask, args=(index,)) for index in range(STREAMS)]
    for client in clients:
        client.start()

    # Step 2. The replica with the most streams crashes; the others are sound.
    time.sleep(CRASH_AFTER_S)
    if disruption_wanted():
        busiest = max(world.engines, key=lambda engine: sum(1 for run in engine.runs if run["ended"] is None))
        world.note(f"{busiest.name} crashes with {sum(1 for run in busiest.runs if run['ended'] is None)} streams")
        busiest.crash()
    for client in clients:
        client.join()

    # Step 3. A stream that ends as complete holds all that a replica makes of it.
    whole = "".join(f"id: {n}\ndata: e{n}\n\n" for n in range(1, EVENTS + 1)).encode()
    broken = []
    for request_id, (status, proof, body, complete) in sorted(streams.items()):
        world.note(f"{request_id}: status {status}, proof {proof}, {len(body)} of {len(whole)} bytes, {'ended as complete' if complete else 'broken off'}, ends with {body[-16:]!r}")
        if status == 200 and complete and body != whole:
            broken.append(f"ORDER: the stream of {request_id} ended as complete with {len(body)} of {len(whole)} bytes")
    for run in world.runs():
        world.note(f"replica ran {run['item']}, {'complete' if run['complete'] else 'broken off'}", run["began"])
    return broken


run_case(case, FOLDER / "record.txt")
