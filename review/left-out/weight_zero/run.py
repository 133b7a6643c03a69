"""A service that the desired state gives the weight 0. See claim.txt."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

CONFIG_CONVERGE_S = 2
BATCH = "b000000000000001"


def split(version, parts):
    document = config(version, {"resultDeadlineMs": 7500, "itemTtlS": 40})
    steps = document["routes"][0]
    del steps["service"]
    steps["trafficSplit"] = [{"service": name, "weight": weight} for name, weight in parts]
    document["services"].append({**document["services"][0], "name": "pool2"})
    return document


def case():
    world = World(FOLDER)
    for zone in ("caerdydd", "abertawe"):
        for service in ("pool", "pool2"):
            world.platform.engine(service, zone, models=["m0"], events=20, event_interval_s=0.05)
        world.platform.service("app", zone)
    world.start(split(1, [("pool", 50), ("pool2", 50)]))
    record, trainer = world.record, Client(world, "trainer")

    # The operator takes pool2 out of the route: by the weight 0, or, without trouble, by leaving it out.
    world.platform.put_config(split(2, [("pool", 100), ("pool2", 0)] if TROUBLE else [("pool", 100)]))
    record.add("operator: desired state 2, acknowledged: " + ("pool has the weight 100, pool2 the weight 0" if TROUBLE else "pool has the weight 100, pool2 is left out"))
    time.sleep(CONFIG_CONVERGE_S + 3)

    if trainer.submit(world.entries[0], BATCH, submission(BATCH, 8, 4, 20)) != 202:
        raise CouldNotRun("the batch submission was not accepted")
    world.wait(lambda: (lambda status, body: status == 200 and len(body["results"]) == body["total"])(*trainer.read(world.entries[1], BATCH, 0, 500, quiet=True)), "all results are read", 20)
    trainer.read(world.entries[1], BATCH)
    trainer.end(world.entries[1], BATCH)

    wrong = 0
    for replica in world.platform.replicas:
        items = [path for path, _ in replica.executed_requests if path.startswith("/pule252/")]
        if replica.service in ("pool", "pool2"):
            record.add(f"{replica.name} of {replica.service}: ran {len(items)} items")
        wrong += len(items) if replica.service == "pool2" else 0
    if wrong:
        record.add(f"broken: CONFIG: {wrong} items of a batch submission that was sent {CONFIG_CONVERGE_S + 3} s after the ack ran on pool2")
    record.add("verdict: " + ("broken" if wrong else "held"))
    return EXIT_BROKEN if wrong else EXIT_HELD


main(case)
