"""A machine is stopped as planned while the platform's store is slow, and trainers end batches meanwhile."""

import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

BATCHES = 24
GROUPS, GROUP_SIZE = 2, 4  # 192 items in all, for 72 places
EVENTS, EVENT_INTERVAL_S = 60, 0.1  # an item takes 6 s
SLOW_FOR_S, ANSWER_TIME_S = 2.0, 0.24  # 60 times the usual 4 ms
ENDS_WITHIN_S = (0.2, 0.6)  # after the SIGTERM
CANCEL_S, CONTACT_S = 3.0, 3.0
WATCHED_FOR_S = 16


def case(world):
    world.put_config([route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60)], [engine_service(["m"])],
                     [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}])
    for i in range(9):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    world.start()
    trainer = Trainer(world, "key-one")
    batch_of = {}
    for step in range(BATCHES):
        batch = f"b{step:02}"
        body, items = submission(batch, step, GROUPS, GROUP_SIZE, "/steps/")
        if not trainer.submit(batch, "/steps/", body):
            raise RuntimeError("a batch was not accepted")
        batch_of.update(dict.fromkeys(items, batch))
    stopped = world.owner_of("b00")

    # Step 1. The store turns slow, and the machine that runs the batches is stopped as planned.
    if disruption_wanted():
        world.store.be_slow_for(SLOW_FOR_S, ANSWER_TIME_S)
    slow_end = time.monotonic() + SLOW_FOR_S
    stopped.leaving = True
    stopped.signal(signal.SIGTERM)
    stop = time.monotonic()
    world.note(f"SIGTERM for {stopped.name}")

    # Step 2. Trainers end half of the batches, each until it is acknowledged.
    acked = {}

    def end(batch, at):
        time.sleep(max(0.0, stop + at - time.monotonic()))
        while not trainer.end(batch):
            time.sleep(0.1)
        acked[batch] = time.monotonic()

    moments = random.Random(world.store.random.random())
    enders = [threading.Thread(target=end, args=(f"b{step:02}", moments.uniform(*ENDS_WITHIN_S))) for step in range(0, BATCHES, 2)]
    for ender in enders:
        ender.start()
    for ender in enders:
        ender.join()
    time.sleep(WATCHED_FOR_S)

    # Step 3. Items that reached a replica too late, from machines that were in touch by then.
    broken = []
    for run in world.runs():
        batch = batch_of[run["item"]]
        world.note(f"run of {run['item']}{', ended %.1f s before' % (run['began'] - acked[batch]) if batch in acked else ''}", run["began"])
        if batch in acked and run["began"] - acked[batch] > CANCEL_S and run["began"] > slow_end + CONTACT_S:
            broken.append(f"UNASKED: {run['item']} reached a replica {run['began'] - acked[batch]:.1f} s after the end of {batch} was acknowledged")
    return broken


run_case(case, FOLDER / "record.txt")
