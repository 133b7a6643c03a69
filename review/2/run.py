"""A machine is stopped as planned while the platform's store loses answers; its batches are handed over."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import Trainer, disruption_wanted, engine_service, route, run_case, submission  # noqa: E402

BATCHES = 8  # steps that the trainer has asked ahead
GROUPS, GROUP_SIZE = 2, 4
EVENTS, EVENT_INTERVAL_S = 25, 0.12  # an item takes 3 s
PATIENCE_S = 20  # of the trainer, for each step
SHEET_PATIENCE_S = 12  # as the sheet has it; the rule is broken only if it would be with this one too
LOST_FOR_S, LOST_SHARE = 1.5, 0.35
CONTACT_S = 3.0
AT_NO_REPLICA_S = 5.0


def longest_idle(runs, begin, end):
    """The longest span inside [begin, end] in which none of these runs was at a replica."""
    longest, idle_since = 0.0, begin
    for run in runs:
        longest = max(longest, min(run["began"], end) - idle_since)
        idle_since = max(idle_since, run["ended"] or end)
    return max(longest, end - idle_since)


def case(world):
    world.put_config([route("judge", "/judge/", "safe", "app", authExempt=True, timeoutMs=2000), route("steps", "/steps/", "rollout", "models", resultDeadlineMs=7500, itemTtlS=60)],
                     [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
                     [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}])
    for i in range(9):
        world.engine(("zone-a", "zone-b", "zone-c")[i % 3], events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.service(zone)
    world.start()
    trainer = Trainer(world, "key-one")

    # Step 1. The trainer asks for its steps.
    batches = {}
    for step in range(BATCHES):
        batch = f"b{step}"
        body, items = submission(batch, step, GROUPS, GROUP_SIZE, "/steps/", judge="/judge/x")
        if not trainer.submit(batch, "/steps/", body):
            raise RuntimeError("a batch was not accepted")
        batches[batch] = {"items": items, "submitted": time.monotonic(), "complete": None}

    # Step 2. The machine that runs them is stopped as planned, and the store loses answers meanwhile.
    time.sleep(0.7)
    stopped = world.owner_of("b0")
    world.note(f"SIGTERM for {stopped.name}; batches begun: {sorted({run['item'][:2] for run in world.runs()})}")
    stopped.leaving = True
    if disruption_wanted():
        world.store.lose_answers_for(LOST_FOR_S, LOST_SHARE)
    lost_end = time.monotonic() + LOST_FOR_S
    stopped.signal(signal.SIGTERM)

    def watch_exit():
        stopped.process.wait()
        stopped.ended = time.monotonic()
        world.note(f"{stopped.name} has ended with {stopped.process.returncode}")

    threading.Thread(target=watch_exit, daemon=True).start()

    # Step 3. The trainer reads until each step is complete or out of time.
    def follow(batch, state):
        while time.monotonic() < state["submitted"] + PATIENCE_S:
            read = trainer.read(batch)
            if read and len(read["results"]) == read["total"]:
                state["complete"] = time.monotonic()
                world.note(f"batch {batch}: all {read['total']} results read")
                trainer.end(batch)
                return
            state["listed"] = len(read["results"]) if read else state.get("listed", 0)
            time.sleep(0.2)
        state["read"] = read
        world.note(f"batch {batch}: out of time with {state['listed']} of {len(state['items'])} results")

    followers = [threading.Thread(target=follow, args=entry) for entry in batches.items()]
    for follower in followers:
        follower.start()
    for follower in followers:
        follower.join()

    # Step 4. The record, and the rule.
    for at, key, status, lost in world.store.writes:
        world.note(f"store: {key} -> {status}{', answer lost' if lost else ''}", at)
    runs = world.runs()
    for run in runs:
        world.note(f"run of {run['item']} until {(run['ended'] or 0) - world.began:.3f}, {'complete' if run['complete'] else 'broken off'}", run["began"])
    broken = []
    # Steady from contactMs after the last disturbance; the planned stop counts as one too, but not with the sheet's patience.
    steady = max(lost_end, getattr(stopped, "ended", lost_end)) + CONTACT_S
    for batch, state in batches.items():
        if state["complete"]:
            continue
        end = state["submitted"] + PATIENCE_S
        of_batch = [run for run in runs if run["item"] in state["items"]]
        if not any(run["began"] < lost_end for run in of_batch):
            continue  # the step had not begun
        busy = sum(1 for run in runs if run["began"] <= end - 1 and (run["ended"] or end) > steady)
        if busy > len(world.engines) * 8 / 2:
            continue  # the replicas were half full
        for item in state["items"]:
            own = [run for run in of_batch if run["item"] == item]
            idle = longest_idle(own, steady, end - 1)
            idle_by_sheet = longest_idle(own, lost_end + CONTACT_S, state["submitted"] + SHEET_PATIENCE_S - 1)
            if not any(run["complete"] for run in own) and min(idle, idle_by_sheet) >= AT_NO_REPLICA_S:
                broken.append(f"LOST: step of {batch} ran out of time; item {item}, finished by no replica, was at none for {idle:.1f} s of steady state, {idle_by_sheet:.1f} s by the sheet's patience")
    return broken


run_case(case, FOLDER / "record.txt")
