"""A batch whose id begins with another tenant's batch id and a slash. See claim.txt."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

CONTACT_S, RESTART_S = 3, 0.5
BATCH = "7c41e09b52d6a3f8"
OTHER = BATCH + "/2"


def case():
    world = World(FOLDER)
    for zone in ("caerdydd", "abertawe"):
        world.platform.engine("pool", zone, models=["m0"], events=10, event_interval_s=0.05)
        world.platform.service("app", zone)
    world.start(config(1, {"resultDeadlineMs": 7500, "itemTtlS": 40}, tenants=(("hule930", "key-one"), ("fida11", "key-two"))))
    record, first, second = world.record, Client(world, "trainer of hule930"), Client(world, "trainer of fida11", "key-two")

    def all_results(client, batch):
        return world.wait(lambda: (lambda status, body: body if status == 200 and len(body["results"]) == body["total"] else None)(*client.read(world.entries[0], batch, 0, 500, quiet=True)),
                          f"all results of {batch}", 20)

    if first.submit(world.entries[0], BATCH, submission("aa", 2, 4, 10)) != 202 or second.submit(world.entries[1], OTHER, submission("bb", 2, 4, 10)) != 202:
        raise CouldNotRun("a batch submission was not accepted")
    own = [result["id"] for result in all_results(first, BATCH)["results"]]
    all_results(second, OTHER)
    owner = world.by_name(world.owner_in_store(BATCH))
    if TROUBLE:
        owner.signal(signal.SIGKILL)
        owner.process.wait()
        time.sleep(RESTART_S)
        owner.start()
    time.sleep(CONTACT_S + 4)
    broken = 0
    for entry in world.entries:
        status, body = first.read(entry, BATCH)
        foreign = [result["id"] for result in body["results"] if result["id"] not in own] if status == 200 else []
        if foreign:
            broken += 1
            record.add(f"broken: MIXED: {entry.name} gives hule930 {len(foreign)} results of another batch submission, fida11's, beyond a total of {body['total']}")
    record.add("verdict: " + ("broken" if broken else "held"))
    return EXIT_BROKEN if broken else EXIT_HELD


main(case)
