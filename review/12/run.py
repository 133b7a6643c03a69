"""A hand-over that is handled late, by an instance that was suspended meanwhile. See claim.txt."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from world import EXIT_BROKEN, EXIT_HELD, TROUBLE, Client, CouldNotRun, World, config, main, submission  # noqa: E402

FREEZE_S = 5
RESTART_S = 0.5  # the platform starts a process again after a short delay
CANCEL_S = 3  # cancelMs
CONTACT_S = 3  # contactMs
RUN_DEADLINE_S = 7.5  # the trainer ends the batch submission then
EVENTS, EVENT_INTERVAL_S = 80, 0.1
WATCHED_S = 22  # after the submission
BATCH = "b000000000000001"
FROZEN = "edge-abertawe-1"  # which the batch is handed over to


def case():
    world = World(FOLDER)
    for zone in ("caerdydd", "abertawe"):
        world.platform.engine("pool", zone, models=["m0"], events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        world.platform.service("app", zone)
    world.start(config(1, {"resultDeadlineMs": 7500, "itemTtlS": 40}))
    record, trainer = world.record, Client(world, "trainer")

    if trainer.submit(world.entries[0], BATCH, submission(BATCH, 10, 4, EVENTS, 9)) != 202:
        raise CouldNotRun("the batch submission was not accepted")
    submitted_at = time.monotonic()
    stopped = world.by_name(world.owner_in_store(BATCH))
    others = [entry for entry in world.entries if entry is not stopped]
    frozen = world.by_name(FROZEN)
    if frozen is stopped:
        raise CouldNotRun("the instance to be suspended has the batch submission itself")
    record.add(f"{stopped.name} has the batch submission in hand")

    def wait_until(age):
        time.sleep(max(0, submitted_at + age - time.monotonic()))

    # A planned stop of the instance that runs the batch, while another one is suspended.
    wait_until(1)
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    stopped.signal(signal.SIGTERM)
    in_touch_from = {}

    def start_again():
        stopped.process.wait()
        record.add(f"{stopped.name} ended")
        time.sleep(RESTART_S)
        stopped.start()
        in_touch_from[stopped.ip] = time.monotonic() + CONTACT_S

    restarting = threading.Thread(target=start_again, daemon=True)
    restarting.start()
    wait_until(1 + FREEZE_S)
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    # The trainer ends the batch at its deadline; its connection leads to the instance that was suspended.
    wait_until(RUN_DEADLINE_S)
    for attempt in range(10):
        if trainer.end(frozen, BATCH) == 200:
            break
        time.sleep(0.3)
    else:
        raise CouldNotRun("the end was not acknowledged")
    ended_at = time.monotonic()
    wait_until(WATCHED_S)

    # The instances that nothing happened to are in touch all the while, the one that was stopped from `contactMs` after its start.
    in_touch_from.update({entry.ip: 0 for entry in others if entry is not frozen})
    names = {entry.ip: entry.name for entry in world.entries}
    late = []
    for at, replica, path, source, runs in world.items():
        if at <= ended_at:
            continue
        record.add(f"{replica.name}: {path} from {names.get(source, source)} arrived {at - ended_at:.3f} s after the ack of the end and {'ran' if runs else 'did not run'}")
        if runs and at > ended_at + CANCEL_S and at > in_touch_from.get(source, float("inf")):
            late.append(f"UNASKED: an item of the ended batch submission reached {replica.name} from {names[source]} {at - ended_at:.1f} s after the ack of its end, and ran")
    for fault in late[:5]:
        record.add("broken: " + fault)
    record.add(f"{len(late)} such items")
    record.add("verdict: " + ("broken" if late else "held"))
    return EXIT_BROKEN if late else EXIT_HELD


main(case)
