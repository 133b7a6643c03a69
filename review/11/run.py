"""A step that takes longer than `statusTtlS`: its batch submission is open and still running. See claim.txt."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

STATUS_TTL_S = 30
SETTLE_S = 1
LONG_STEP_S, SHORT_STEP_S = 55, 12  # that one item takes; all run side by side
EVENT_INTERVAL_S = 0.1
DAY_S = 50
BATCH = "7c41e09b52d6a3f8"


def case():
    world = World(FOLDER, bounds={"statusTtlS": STATUS_TTL_S})
    events = int((LONG_STEP_S if TROUBLE else SHORT_STEP_S) / EVENT_INTERVAL_S)
    for zone in ("caerdydd", "abertawe"):
        world.platform.engine("pool", zone, models=["m0"], events=events, event_interval_s=EVENT_INTERVAL_S)
        world.platform.service("app", zone)
    world.start(config(1, {"resultDeadlineMs": 90000, "itemTtlS": 120}))
    record, trainer = world.record, Client(world, "trainer")

    if trainer.submit(world.entries[0], BATCH, submission(BATCH, 2, 4, events)) != 202:
        raise CouldNotRun("the batch submission was not accepted")
    accepted_at = time.monotonic()
    broken = []
    read = 0
    ended = False
    turn = 0
    while time.monotonic() < accepted_at + DAY_S and not ended and not broken:
        entry = world.entries[turn % len(world.entries)]
        turn += 1
        age = time.monotonic() - accepted_at
        status, body = trainer.read(entry, BATCH, read, 500, quiet=turn % 10 != 0)
        if status in (404, 410) and age > SETTLE_S:
            record.add(f"trainer: GET {BATCH} at {entry.name}: {status}, {age:.1f} s after the 202, and nobody has ended it")
            broken.append(f"LOST: {entry.name} answers {status} for an open batch submission")
        if status == 200 and body["results"]:
            read += len(body["results"])
            record.add(f"trainer: read {read} of {body['total']} results")
            if read == body["total"]:
                ended = trainer.end(entry, BATCH) == 200
        time.sleep(0.5)
    if broken:
        for entry in world.entries:
            status, _ = trainer.read(entry, BATCH)
            if status in (404, 410):
                broken.append(f"LOST: {entry.name} answers {status} for an open batch submission")
        time.sleep(2)
        open_items = {path for _, _, path, _, runs in world.items() if runs}
        record.add(f"replicas: began {len(open_items)} items of the batch submission; each takes {LONG_STEP_S} s, so none was done")
    elif not ended and not TROUBLE:
        raise CouldNotRun("the short step did not end in time")
    for fault in broken:
        record.add("broken: " + fault)
    record.add("verdict: " + ("broken" if broken else "held"))
    return EXIT_BROKEN if broken else EXIT_HELD


main(case)
