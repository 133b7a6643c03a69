"""An instance is killed while it runs a batch, the store loses answers to two writes, and the submission is sent once more; see claim.txt."""

import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from world import BOUNDS, TROUBLE, Replica, Store, World, item, main, submission  # noqa: E402

BATCH = "b7"
SHORT_GROUPS, LONG_GROUPS, SIZE = 2, 3, 4
LOSS_S = 4.5  # for_s of platform_lost in the site file
RESEND_AFTER_S = 0.12
WATCH_S = 12


class LossyStore(Store):
    """Does the chosen writes and doesn't answer them."""

    def __init__(self):
        self.lose_until = 0
        self.to_lose = []  # what may be lost once each: "head" for a write of the head alone, "submission"
        self.on_lost = lambda what: None
        self.writes, self.lost = 0, 0  # within the disturbance
        super().__init__()

    def handle(self, request):
        if request.route != "/kv-txn" or time.monotonic() >= self.lose_until:
            super().handle(request)
            return
        keys = [row["key"] for row in json.loads(request.body).get("setKeys", [])]
        is_head = "batch/head/" + BATCH in keys
        what = None if not is_head else "submission" if len(keys) > 1 else "head"
        with self.lock:
            self.writes += 1
            is_lost = what in self.to_lose
            if not is_lost:
                what = None
            else:
                self.to_lose.remove(what)
                self.lost += 1
        if what is None:
            super().handle(request)
            return
        with self.lock:
            self._expire()
            status, _ = self._commit_transaction(request)
        self.on_lost(f"{what} ({status})")
        time.sleep(10)  # the channel returns nothing further
        request.close_connection = True


class TimedEngine(Replica):
    """Items whose names begin with "long" have many events."""

    def handle(self, request):
        if request.route.startswith("/steps/"):
            self.platform.record(f"item {request.headers['Attempt-Id']} runs at {self.name}, behind event {request.headers.get('Last-Event-Id') or 0}")
        super().handle(request)

    def _stream(self, request):
        events = 120 if "/long" in request.route else 4
        shadow = type("Shadow", (), {"versions": self.versions, "events": events, "event_interval_s": 0.03, "event_text": self.event_text, "software": self.software, "requests_to_break": 0})()
        Replica._stream(shadow, request)


def script(world):
    store = world.store
    world.start(entries=4, engines=8, services=3)
    items = [item(f"short{g}.{i}", BATCH, f"s{g}", prompt=f"a{g}:300") for g in range(SHORT_GROUPS) for i in range(SIZE)]
    items += [item(f"long{g}.{i}", BATCH, f"l{g}", prompt=f"b{g}:300") for g in range(LONG_GROUPS) for i in range(SIZE)]
    body = submission(items)
    if world.submit(world.entries[0], BATCH, body) != 202:
        raise RuntimeError("the submission was not accepted")
    accepted = time.monotonic()
    name = json.loads(store.value("batch/head/" + BATCH))["owner"]
    owner = next(entry for entry in world.entries if entry.name == name)
    others = [entry for entry in world.entries if entry is not owner]
    read = {}

    def read_some():
        status, document = world.results(others[0], BATCH, 0, 500)
        if status == 200:
            read.update({position: row["id"] for position, row in enumerate(document["results"])})
        return len(read) >= SHORT_GROUPS * SIZE

    world.wait(read_some, 6, "the short items are listed")
    world.record(f"{len(read)} results were read at {others[0].name}: positions 0 to {len(read) - 1}")

    # The disruption, and the submission once more: its 202 is only seconds old.
    resent = threading.Event()

    def resend():
        time.sleep(RESEND_AFTER_S)
        world.submit(owner, BATCH, body, note=" once more, by another client")
        resent.set()

    if TROUBLE:
        def on_lost(what):
            world.record(f"the store does a write and its answer is lost: {what}")
            if what.startswith("head"):
                threading.Thread(target=resend, daemon=True).start()

        store.on_lost = on_lost
        owner.kill()
        store.to_lose = ["head", "submission"]
        store.lose_until = time.monotonic() + LOSS_S
        time.sleep(0.5)
        owner.start()
        world.record(f"{owner.name} is started again")
        if not resent.wait(15):
            raise RuntimeError("the batch was not taken over again")
        time.sleep(max(0, store.lose_until - time.monotonic()))
        world.record(f"of {store.writes} writes in {LOSS_S} s, the answers to {store.lost} were lost; no answer is lost any more")
    else:
        resend()
    time.sleep(BOUNDS["contactMs"] / 1000 + BOUNDS["settleMs"] / 1000)
    world.record("all machines are in touch")

    # All instances must have what was read, and the rest must come.
    begun, missing, listed = time.monotonic(), {}, 0
    while time.monotonic() - begun < WATCH_S:
        missing = {}
        for entry in world.entries:
            status, document = world.results(entry, BATCH, 0, 0)
            ids = [row["id"] for row in document["results"]] if status == 200 else []
            listed = max(listed, len(ids))
            if status in (404, 410) or (status == 200 and any(position >= len(ids) or ids[position] != name for position, name in read.items())):
                missing[entry.name] = f"{status}, {len(ids)} results"
        if listed == len(items):
            break
        time.sleep(1)
    world.record(f"{time.monotonic() - accepted:.1f} s after the 202, {listed} of {len(items)} results can be read" + "".join(f"; {name} answers {what}" for name, what in missing.items()))
    world.end_batch(others[1], BATCH)
    status, document = world.results(others[0], BATCH, 0, 0)
    world.record(f"after the end, a read from the start: {status}, {len(document['results']) if document else 0} results")
    return not missing


main(script, lambda: World(FOLDER, engine=TimedEngine, store=LossyStore))
