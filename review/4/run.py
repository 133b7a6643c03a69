"""A trainer ends its steps while the platform's store loses answers; afterwards the results are read at all machines."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import Engine, Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

TRAINERS = 24  # each asks for two steps
GROUPS, GROUP_SIZE, GROUPS_WAITED_FOR = 3, 1, 2
EVENTS, EVENT_INTERVAL_S = 12, 0.1  # an item takes 1.2 s
LOST_FOR_S, LOST_SHARE = 4.5, 0.35
READ_PERIOD_S = 0.5  # "Clients read about twice per second"
CONTACT_S, SETTLE_S = 3.0, 1.0
ROUNDS = 4


class UnevenEngine(Engine):
    """A model replica; the items of a batch's last group are a little longer."""

    def events_of(self, item):
        return EVENTS + 1 if f"g{GROUPS - 1}i" in item else EVENTS


def case(world):
    world.put_config([route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60)], [engine_service(["m"])],
                     [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}])
    for i in range(9):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], kind=UnevenEngine, event_interval_s=EVENT_INTERVAL_S)
    world.start()
    trainer = Trainer(world, "key-one")

    # Step 1. Trainers ask for a step, end it once they have read the groups that they wait for, and ask for the next.
    # The platform leads a trainer's calls to the machines of its zone.
    batches = []

    def ask(batch, step, near):
        body, _ = submission(batch, step, GROUPS, GROUP_SIZE, "/steps/")
        body = body.replace(b'"desiredCount": %d' % GROUPS, b'"desiredCount": %d' % GROUPS_WAITED_FOR)
        if not trainer.submit(batch, "/steps/", body, edge=near[0]):
            raise RuntimeError("a batch was not accepted")
        batches.append(batch)

    def follow(batch, near):
        turn = time.monotonic()
        while True:
            turn += READ_PERIOD_S
            time.sleep(max(0.0, turn - time.monotonic()))
            read = trainer.read(batch, wait_ms=0, edge=trainer.random.choice(near))
            listed = {result["id"] for result in read["results"]} if read else set()
            groups = [all(f"{batch}g{group}i{index}" in listed for index in range(GROUP_SIZE)) for group in range(GROUPS)]
            if sum(groups) >= GROUPS_WAITED_FOR:
                break
        while not trainer.end(batch, edge=trainer.random.choice(near)):
            time.sleep(0.2)

    def train(number, near):
        follow(f"t{number}s0", near)
        ask(f"t{number}s1", TRAINERS + number, near)
        follow(f"t{number}s1", near)

    followers = []
    for number in range(TRAINERS):
        zone = world.edges[number % len(world.edges)].zone
        near = [edge for edge in world.edges if edge.zone == zone]
        ask(f"t{number}s0", number, near)
        followers.append(threading.Thread(target=train, args=(number, near)))
        followers[-1].start()

    # Step 2. The store loses answers.
    time.sleep(0.3)
    if disruption_wanted():
        world.store.lose_answers_for(LOST_FOR_S, LOST_SHARE)
    lost_end = time.monotonic() + LOST_FOR_S
    world.note("the store loses answers from now on" if disruption_wanted() else "no trouble")
    for follower in followers:
        follower.join()
    time.sleep(max(0.0, lost_end + CONTACT_S + SETTLE_S - time.monotonic()))

    # Step 3. All machines are in touch again, and clients read from the start at each of them.
    seen = {}  # by batch: time at which each position was first read
    broken = set()
    for number in range(ROUNDS):
        for batch in batches:
            counts = {}
            for edge in world.edges:
                read = trainer.read(batch, wait_ms=0, edge=edge)
                now = time.monotonic()
                if read is None:
                    continue
                count = counts[edge.name] = len(read["results"])
                first_read = seen.setdefault(batch, {})
                for position in range(count):
                    first_read.setdefault(position, now)
                for position, at in first_read.items():
                    if position >= count and now > at + SETTLE_S:
                        broken.add(f"LOST: {edge.name} has nothing at position {position} of {batch}, which had been read more than {SETTLE_S:.0f} s before")
            world.note(f"round {number}, {batch}: results {counts}")
        time.sleep(SETTLE_S + 0.2)
    for at, key, status, lost in world.store.writes:
        if key.startswith("batch/"):
            world.note(f"store: {key} -> {status}{', answer lost' if lost else ''}", at)
    return sorted(broken)


run_case(case, FOLDER / "record.txt")
