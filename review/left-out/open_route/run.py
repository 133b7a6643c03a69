"""A batch route that needs no key. See claim.txt."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

SETTLE_S = 1
BATCH = "b000000000000001"


def case():
    world = World(FOLDER)
    for zone in ("caerdydd", "abertawe"):
        world.platform.engine("pool", zone, models=["m0"], events=20, event_interval_s=0.05)
        world.platform.service("app", zone)
    rollout = {"resultDeadlineMs": 7500, "itemTtlS": 40}
    world.start(config(1, rollout))
    record, trainer = world.record, Client(world, "trainer")

    # The operator opens the route: its requests need no key any more. The trainer goes on sending its own.
    if TROUBLE:
        world.platform.put_config(config(2, {**rollout, "authExempt": True}))
        record.add("operator: desired state 2, acknowledged: the batch route is authExempt")
    time.sleep(5)
    if trainer.submit(world.entries[0], BATCH, submission(BATCH, 4, 4, 20)) != 202:
        raise CouldNotRun("the batch submission was not accepted")
    accepted_at = time.monotonic()
    unknown = set()
    done = False
    while time.monotonic() < accepted_at + 12 and not done:
        for entry in world.entries:
            status, body = trainer.read(entry, BATCH)
            if status in (404, 410) and time.monotonic() > accepted_at + SETTLE_S:
                unknown.add(entry.name)
            done = done or (status == 200 and len(body["results"]) == body["total"])
        time.sleep(1)
    items = sum(path.startswith("/pule252/") for replica in world.platform.replicas for path, _ in replica.executed_requests)
    record.add(f"replicas: ran {items} items")
    for name in sorted(unknown):
        record.add(f"broken: LOST: {name} answers 404 for an accepted batch submission")
    if not unknown and not done:
        raise CouldNotRun("the results were not read in time")
    record.add("verdict: " + ("broken" if unknown else "held"))
    return EXIT_BROKEN if unknown else EXIT_HELD


main(case)
