"""The store does the write of a submission late and unanswered, and the instance that sent it is killed; see claim.txt."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from world import TROUBLE, Replica, Store, World, desired_state, item, main, route, submission  # noqa: E402

BATCH = "b3"
LATE_S = 2.5  # "done 1 to 6 s later"
RESTART_S = 0.3
RETRY_AFTER_S = 2.6  # of the client, after its channel broke
DEADLINE_S = 12  # of the step
STEADY_S = 5
ENGINES, SLOTS = 4, 8
CONTACT_S = 3  # contactMs


class LateStore(Store):
    """Does one write late and gives no answer to it."""

    def __init__(self):
        self.late_head = None  # key of a head: the next write that creates it is done late
        self.on_late = lambda what: None
        self.done_at = 0  # of the late write
        super().__init__()

    def handle(self, request):
        if request.route == "/kv-txn":
            document = json.loads(request.body)
            keys = [row["key"] for row in document.get("setKeys", [])]
            with self.lock:
                is_late = self.late_head is not None and self.late_head in keys
                if is_late:
                    self.late_head = None
            if is_late:
                threading.Timer(LATE_S, self._do_late, args=(request.body,)).start()
                self.on_late("the store gives no answer to the write of the submission, and will do it later if its condition still holds")
                time.sleep(10)  # the channel returns nothing further
                request.close_connection = True
                return
        super().handle(request)

    def _do_late(self, body):
        with self.lock:
            self._expire()
            status, _ = self._commit_transaction(type("Late", (), {"body": body})())
        self.done_at = time.monotonic()
        self.on_late(f"the store does the late write: {status}")


class CountingEngine(Replica):
    arrived = []  # (time, item)
    finished = set()  # items whose whole stream was sent
    running = 0
    most_running = []  # (time, runs at all replicas)
    lock = threading.Lock()
    on_arrival = staticmethod(lambda: None)

    def handle(self, request):
        if request.route.startswith("/steps/"):
            self.arrived.append((time.monotonic(), request.route.rsplit("/", 1)[-1]))
            self.platform.record(f"item {request.headers['Attempt-Id']} runs at {self.name}, behind event {request.headers.get('Last-Event-Id') or 0}")
            type(self).on_arrival()
            self._count(1)
            try:
                super().handle(request)
                self.finished.add(request.headers["Attempt-Id"])
            finally:
                self._count(-1)
            return
        super().handle(request)

    def _count(self, change):
        with self.lock:
            CountingEngine.running += change
            self.most_running.append((time.monotonic(), CountingEngine.running))


def script(world):
    store = world.store
    world.start(entries=4, engines=ENGINES, services=3, event_interval_s=0.1, events=20,
                state=desired_state(routes=[route("judge", "/judge/", "safe", "shop", authExempt=True, maxAttempts=4),
                                            route("steps", "/steps/", "rollout", "pool", resultDeadlineMs=DEADLINE_S * 1000, itemTtlS=40, timeoutMs=10000, targetLatencyMs=400)]))
    # The instance that runs this route's batches, and one in another zone for the trainer.
    if world.submit(world.entries[0], "b0", submission([item("first", "b0")])) != 202:
        raise RuntimeError("the submission was not accepted")
    name = json.loads(store.value("batch/head/b0"))["owner"]
    owner = next(entry for entry in world.entries if entry.name == name)
    near = next(entry for entry in world.entries if entry.zone != owner.zone and sum(other.zone == entry.zone for other in world.entries) == 1)
    world.wait(lambda: len((world.results(near, "b0")[1] or {"results": []})["results"]) == 1, 5, "the first batch is done")
    world.end_batch(near, "b0")
    world.record(f"{owner.name} runs the batches of this route; the trainer's zone is that of {near.name}")
    time.sleep(1)

    items = [item(f"s{group}.{i}", BATCH, f"g{group}", prompt=f"a{group}:300") for group in range(12) for i in range(4)]
    body = submission(items, 1, 1, 11)
    CountingEngine.arrived.clear()
    CountingEngine.finished.clear()
    begun = time.monotonic()
    if TROUBLE:
        store.on_late = world.record
        store.late_head = "batch/head/" + BATCH
        running = threading.Event()
        CountingEngine.on_arrival = staticmethod(running.set)
        first = threading.Thread(target=world.submit, args=(owner, BATCH, body))
        first.start()
        if not running.wait(5):
            raise RuntimeError("no item began")
        world.record("items of the batch begin")
        time.sleep(0.05)
        owner.kill()
        first.join()
        broken = time.monotonic()
        time.sleep(RESTART_S)
        owner.start()
        world.record(f"{owner.name} is started again")
        time.sleep(max(0, broken + RETRY_AFTER_S - time.monotonic()))
    accepted = world.submit(near, BATCH, body, note=", at another daemon" if TROUBLE else "")
    if accepted != 202:
        raise RuntimeError("the submission was not accepted")
    accepted_at = time.monotonic()

    listed = {}
    while time.monotonic() - begun < DEADLINE_S and len(listed) < 44:
        status, document = world.results(near, BATCH, len(listed), 500)
        for row in document["results"] if status == 200 else []:
            listed[row["id"]] = row["state"]
        time.sleep(0.4)
    # The rule: an item that no replica has finished was at none for 5 s of steady state before the step ran out of time, others
    # had begun, and the replicas were under half full. Steady state begins contactMs after the last disturbance; no version is named.
    now = time.monotonic()
    steady_from = max(store.done_at, begun) + CONTACT_S
    last_at = {}
    for when, name in CountingEngine.arrived:
        last_at[name] = max(when, last_at.get(name, 0))
    unfinished = [row["id"] for row in items if row["id"] not in CountingEngine.finished]
    neglected = [name for name in unfinished if now - max(last_at.get(name, 0), steady_from) >= STEADY_S]
    fullest = max((count for when, count in CountingEngine.most_running if when >= steady_from), default=0)
    broken = len(listed) < 44 and bool(neglected) and bool(last_at) and fullest < ENGINES * SLOTS / 2
    world.record(f"{now - accepted_at:.1f} s after the 202, at the end of the step, {len(listed)} of {len(items)} results are listed; {len(last_at)} items have been at replicas; "
                 f"{len(neglected)} unfinished ones were at none in the {now - steady_from:.1f} s of steady state; at most {fullest} of {ENGINES * SLOTS} places were taken")
    time.sleep(6)
    status, document = world.results(near, BATCH, 0, 0)
    world.record(f"6 s later: {status}, {len(document['results']) if document else 0} results; the last item was at a replica {time.monotonic() - max(when for when, _ in CountingEngine.arrived):.1f} s ago")
    world.record(f"{owner.name}, which the head names, answers {world.results(owner, BATCH, 0, 0)[0]} to a first read there" if TROUBLE else "the end")
    return not broken


main(script, lambda: World(FOLDER, engine=CountingEngine, store=LateStore))
