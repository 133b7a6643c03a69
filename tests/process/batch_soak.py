#!/usr/bin/env python3
"""Soak test of batches on entry instances: seeded disturbances in series, overlapping, while a trainer submits, reads and ends
batches at all instances.

    LOVAGERAIL_BIN=build python3 tests/process/batch_soak.py --seeds 1-50 --seconds 30

Checked while it runs, for instances that nothing has disturbed for a while: an accepted batch that is open, at any age, is
found; a position keeps its result. Of all instances: no item is sent long after the ack of its batch's end. Afterwards:
each batch that is still open is completed."""

import argparse
import random
import sys
import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import CONNECTION_ERRORS, call

IN_TOUCH_AFTER_S = 3.0  # without a disturbance of the instance or of the store
SETTLE_S = 1.0  # from the ack of a submission
CANCEL_S = 3.0  # from the ack of an end
STEP_S = 7.5  # after which a trainer ends its batch, complete or not
LONG_STEP_S = 20.0  # of each fourth batch: older than results are kept
COMPLETED_AFTER_S = 30.0  # without disturbances


class Batch:
    def __init__(self, name, size):
        self.name, self.size = name, size
        self.accepted_at = self.ended_at = self.end_asked_at = None
        self.results = []


class BatchSoak(EntryCase):
    seed, seconds = 1, 30
    bounds = {"results_kept": "6s"}

    def disturbed(self, index, until):
        """The instance counts as disturbed until then; index None: all, by the store."""
        for i in range(len(self.entries)) if index is None else [index]:
            self.calm_from[i] = max(self.calm_from[i], until)

    def in_touch(self, index, at):
        return at > self.calm_from[index] + IN_TOUCH_AFTER_S

    def start_again(self, index):
        self.entries[index] = self.entry(index)
        self.disturbed(index, time.monotonic())

    # --- Disturbances. Each returns when it is over.
    def suspend(self, index, chance):
        span = chance.uniform(0.5, 5)
        self.disturbed(index, time.monotonic() + span)
        self.entries[index].pause()
        time.sleep(span)
        self.entries[index].resume()
        self.disturbed(index, time.monotonic())

    def kill(self, index, chance):
        self.disturbed(index, time.monotonic() + 60)
        self.entries[index].allowed_exit_codes = None
        self.entries[index].kill()
        time.sleep(chance.uniform(0.3, 6))
        self.calm_from[index] = 0
        self.start_again(index)

    def stop(self, index, chance):
        self.disturbed(index, time.monotonic() + 60)
        self.entries[index].allowed_exit_codes = None
        self.entries[index].terminate()
        self.entries[index].finish(8)
        time.sleep(chance.uniform(0.3, 1))
        self.calm_from[index] = 0
        self.start_again(index)

    def lose_store(self, _, chance):
        span = chance.uniform(0.3, 2)
        self.disturbed(None, time.monotonic() + span)
        self.platform.store.refused_callers = {"all"}
        time.sleep(span)
        self.platform.store.refused_callers = set()

    def move_route(self, _, chance):
        document = config(self.version + 1)
        self.version += 1
        route = next(route for route in document["routes"] if route["name"] == "steps")
        route["service"] = chance.choice(["pool", "pool2"])
        document["services"].append({**document["services"][0], "name": "pool2"})
        self.platform.put_config(document)

    def trouble(self, seed):
        chance = random.Random(seed)
        while not self.over.wait(chance.uniform(0.2, 2)):
            index = chance.randrange(len(self.entries))
            what = chance.choice([self.suspend, self.suspend, self.kill, self.stop, self.lose_store, self.move_route])
            lock = self.locks[index] if what in (self.suspend, self.kill, self.stop) else self.store_lock
            if not lock.acquire(blocking=False):
                continue
            try:
                what(index, chance)
            finally:
                lock.release()
        self.calm.release()
        self.finished.wait()  # a process ends with the thread that started it

    # --- The trainer.
    def at_any(self, method, path, chance, body=None, headers=None):
        """The instance that was called, and its status and answer; status 0 without an answer."""
        index = chance.randrange(len(self.entries))
        try:
            answer = call(method, self.entries[index].callers + path, body, {**HOST, **KEY, **(headers or {})}, timeout=4)
            return index, answer.status, answer
        except CONNECTION_ERRORS:
            return index, 0, None

    def submit_batch(self, batch, number, chance):
        for _ in range(8):
            _, status, _ = self.at_any("POST", "/steps/" + batch.name, chance, submission(3, step=number), {"Attempt-Id": batch.name, "Deadline-Ms": "3000", "Content-Type": "application/json"})
            if status == 202:
                batch.accepted_at = time.monotonic()
                return True
            time.sleep(0.3)
        return False

    def read(self, batch, chance):
        after = chance.choice([0, len(batch.results)])
        asked = time.monotonic()
        index, status, answer = self.at_any("GET", f"/lots/{batch.name}?after={after}", chance, headers={"Wait-Ms": "300"})
        if status in (404, 410) and batch.ended_at is None and asked > batch.accepted_at + SETTLE_S and self.in_touch(index, asked):
            self.broken.append(f"LOST: {self.entries[index].name} answers {status} for {batch.name}, {asked - batch.accepted_at:.1f} s after its 202")
        if status != 200:
            return
        results = answer.json["results"]
        known = batch.results[after:after + len(results)]
        if results[:len(known)] != known:
            self.broken.append(f"TWICE: {self.entries[index].name} gives other results of {batch.name} from {after} on")
        batch.results.extend(results[len(known):])

    def end_batch(self, batch, chance):
        batch.end_asked_at = batch.end_asked_at or time.monotonic()
        _, status, _ = self.at_any("DELETE", "/lots/" + batch.name, chance)
        if status == 200:
            batch.ended_at = time.monotonic()

    def train(self, number, seed):
        """One step: submits a batch, reads it, and ends it when it is complete or its time is up."""
        chance = random.Random(seed)
        batch = Batch(f"b{number}", 6)
        if not self.submit_batch(batch, number, chance):
            return
        self.batches.append(batch)
        step_s = LONG_STEP_S if number % 4 == 0 else STEP_S
        while batch.ended_at is None and not self.over.is_set():
            age = time.monotonic() - batch.accepted_at
            self.read(batch, chance)
            if age >= step_s or (len(batch.results) == batch.size and number % 4 != 0):
                self.end_batch(batch, chance)
            time.sleep(0.3)

    def check_items(self):
        sources = {entry.source_address: index for index, entry in enumerate(self.entries)}
        ended = {batch.name[1:]: batch.ended_at for batch in self.batches if batch.ended_at}
        for engine in self.platform.replicas:
            for (at, path), (_, source) in zip(list(engine.arrivals), list(engine.arrival_sources)):
                parts = path.split("/")
                if len(parts) < 3 or parts[1] != "steps" or parts[2] not in ended or (at, path, source) in self.checked_items:
                    continue
                if at > ended[parts[2]] + CANCEL_S and self.in_touch(sources[source], at):
                    self.checked_items.add((at, path, source))
                    self.broken.append(f"UNASKED: {path} from {self.entries[sources[source]].name}, {at - ended[parts[2]]:.1f} s after the ack of its end")

    def test_batches_are_kept_under_disturbances(self):
        self.over, self.finished, self.calm, self.store_lock = threading.Event(), threading.Event(), threading.Semaphore(0), threading.Lock()
        self.broken, self.batches, self.checked_items, self.version = [], [], set(), 1
        self.addCleanup(self.finished.set)
        self.start_entries(count=4)
        others = [self.platform.engine("pool2", zone, models=["m"]) for zone in ("north", "south")]
        for engine in self.engines + others:
            engine.events, engine.event_interval_s = 20, 0.05  # 1 s
        self.locks = [threading.Lock() for _ in self.entries]
        self.calm_from = [time.monotonic()] * len(self.entries)
        troubles = [threading.Thread(target=self.trouble, args=(f"{self.seed}/{i}",), daemon=True) for i in range(2)]
        trainers = []
        for thread in troubles:
            thread.start()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            trainers.append(threading.Thread(target=self.train, args=(len(trainers) + 1, f"{self.seed}/train/{len(trainers)}"), daemon=True))
            trainers[-1].start()
            time.sleep(1.2)
            self.check_items()
        self.over.set()
        for _ in troubles:
            self.calm.acquire()
        for thread in trainers:
            thread.join()
        # Without disturbances, what is open is completed.
        chance = random.Random(f"{self.seed}/after")
        calm_at = time.monotonic()
        while time.monotonic() < calm_at + COMPLETED_AFTER_S and any(batch.end_asked_at is None and len(batch.results) < batch.size for batch in self.batches):
            for batch in self.batches:
                if batch.end_asked_at is None:
                    self.read(batch, chance)
            self.check_items()
            time.sleep(0.3)
        for batch in self.batches:
            if batch.end_asked_at is None and len(batch.results) < batch.size:
                self.broken.append(f"LOST: {batch.name} has {len(batch.results)} of {batch.size} results {COMPLETED_AFTER_S} s after the last disturbance")
        self.check_items()
        print(f"seed {self.seed}: {len(self.batches)} batches accepted, {sum(batch.ended_at is not None for batch in self.batches)} ended, {len(self.broken)} broken", flush=True)
        self.assertEqual(self.broken, [])
        self.assertGreater(len(self.batches), self.seconds / 4)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seeds", default="1", help="a number, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = []
    BatchSoak.seconds = options.seconds
    for seed in range(int(first), int(last or first) + 1):
        BatchSoak.seed = seed
        outcome = unittest.TextTestRunner(verbosity=0).run(unittest.defaultTestLoader.loadTestsFromTestCase(BatchSoak))
        if not outcome.wasSuccessful():
            failed.append(seed)
    print(f"seeds {options.seeds}: {len(failed)} failed {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
