"""A batch route that is moved to another pool, whose old pool is taken away afterwards. See claim.txt."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

RESULT_DEADLINE_S = 20
UNSENT_S = 5  # "has been at no replica for 5 s of steady state"
CONTACT_S, DRAIN_S = 3, 2  # contactMs, drainMs
EVENTS, EVENT_INTERVAL_S = 40, 0.1
GROUPS, SIZE, AWAITED = 8, 4, 7
NEW_REPLICAS = 7
BATCH = "b000000000000001"


def moved(version, pool):
    document = config(version, {"resultDeadlineMs": RESULT_DEADLINE_S * 1000, "itemTtlS": 40})
    document["routes"][0]["service"] = pool
    document["services"].append({**document["services"][0], "name": "pool2"})
    return document


def case():
    world = World(FOLDER)
    old = world.platform.engine("pool", "caerdydd", models=["m0"], events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    for number in range(NEW_REPLICAS):  # so that the one that is taken away is an eighth of the model replicas
        world.platform.engine("pool2", ("caerdydd", "abertawe", "wrecsam")[number % 3], models=["m0"], events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    for zone in ("caerdydd", "abertawe"):
        world.platform.service("app", zone)
    world.start(moved(1, "pool"))
    record, trainer = world.record, Client(world, "trainer")

    document = submission(BATCH, GROUPS, SIZE, EVENTS, AWAITED)
    if trainer.submit(world.entries[0], BATCH, document) != 202:
        raise CouldNotRun("the batch submission was not accepted")
    submitted_at = time.monotonic()

    def age():
        return time.monotonic() - submitted_at

    # The operator moves the route to the new pool, and then takes the old pool's replica away: it drains, serves on for
    # longer than drainMs and ends.
    time.sleep(1)
    world.platform.put_config(moved(2, "pool2"))
    record.add("operator: desired state 2, acknowledged: the batch route leads to pool2")
    left_at = time.monotonic()  # of the last disruption
    if TROUBLE:
        time.sleep(1)
        old.state = "draining"
        old.publish_heartbeat()
        record.add(f"{old.name} of pool reports draining")
        time.sleep(2 * DRAIN_S + EVENTS * EVENT_INTERVAL_S)
        world.platform.store.remove("servers/" + old.name)
        old.refuse_requests = True
        old.close()
        left_at = time.monotonic()
        record.add(f"{old.name} of pool is gone; it had no request any more")
    results = []
    while age() < RESULT_DEADLINE_S and len(results) < len(document["items"]):
        status, body = trainer.read(world.entries[1], BATCH, 0, 500, quiet=True)
        if status == 200:
            results = body["results"]
        time.sleep(0.5)
    trainer.read(world.entries[1], BATCH)

    # The rule with its excuses, at the end of the step's time. No version is named on this day, and one model is trained.
    now = time.monotonic()
    trainer.end(world.entries[1], BATCH)
    listed = [result["id"][:-2] for result in results]
    complete_groups = sum(listed.count(group) == SIZE for group in set(listed))
    items = [item for item in world.items() if item[0] <= now]
    for replica in world.platform.replicas:
        if replica.service != "app":
            record.add(f"{replica.name} of {replica.service}: {sum(item[1] is replica for item in items)} items arrived")
    arrived = {path for _, _, path, _, _ in items}
    never = [item["id"] for item in document["items"] if item["path"] not in arrived]
    has_begun = any(runs for *_, runs in items)
    at_new_pool = sum(replica.service == "pool2" for _, replica, _, _, _ in items)
    steady_s = now - left_at - CONTACT_S
    record.add(f"step's time is up: {complete_groups} groups complete of {AWAITED} that the trainer waits for, {len(never)} items were at no replica, {steady_s:.1f} s of steady state; "
               f"{at_new_pool} items at pool2 with {8 * NEW_REPLICAS} slots")
    broken = complete_groups < AWAITED and never and has_begun and 2 * at_new_pool < 8 * NEW_REPLICAS and steady_s >= UNSENT_S
    if broken:
        record.add(f"broken: LOST: the step runs out of time while {len(never)} of its {len(document['items'])} items have been at no replica for {UNSENT_S} s of steady state")
    elif len(results) < len(document["items"]):
        raise CouldNotRun("the step was not complete in time")
    record.add("verdict: " + ("broken" if broken else "held"))
    return EXIT_BROKEN if broken else EXIT_HELD


main(case)
