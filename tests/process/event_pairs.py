"""Real entry instances under load while two events overlap: the world, its load, the events, and the checks.

    python3 tests/process/event_pairs.py --seed 1              all pairs, and a table
    python3 tests/process/event_pairs.py --pairs planned_stop+lost_answers
"""

import argparse
import collections
import http.client
import itertools
import json
import queue
import random
import sys
import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, route, submission
from faulty_replica import FaultyReplica
from kit import CONNECTION_ERRORS, Stream, call, wait_until

INSTANCES = 4
EVENTS_OF_A_TEXT = FaultyReplica.events_of_a_text
TEXT = "\n".join(f"e{number}" for number in range(1, EVENTS_OF_A_TEXT + 1))
NOT_RUN = (408, 421, 429, 503)
LOAD_TIME_S = 4.0
FIRST_EVENT_AT_S = 0.8  # of the load
MAX_GAP_S = 0.8  # between the two events
SETTLE_S = 25  # until all batches are complete
CANCEL_S = 3.0  # from the acknowledgement of an end, until no item runs
CLIENT_TIMEOUT_S = 6
EVENT_TIMEOUT_S = 60


class PairReplica(FaultyReplica):
    """Records what it runs, and spoils a part of its answers while `spoil` is set."""

    def __init__(self, *arguments, chance, **more):
        self.chance = chance
        self.runs = []  # (monotonic time, id, path)
        self.spoil = None  # "cut", "twice" or "break"
        super().__init__(*arguments, **more)
        self.fault = self.answer_or_spoil

    def answer_or_spoil(self, request):
        self.runs.append((time.monotonic(), request.headers["Attempt-Id"], request.route))
        is_engine = bool(self.versions)
        body = self.text_events(request) if is_engine else request.body
        more = ("Content-Type: text/event-stream", "Weight-Versions: 1") if is_engine else ()
        message = self.head(request, f"Content-Length: {len(body)}", *more) + body
        if self.spoil and self.chance.random() < 0.4:
            if self.spoil == "break":
                request.break_connection()
            elif self.spoil == "cut":
                message = self.chance.choice((message, self.head(request, "Connection: close", *more) + body))
                self.send_and_close(request, message[:self.chance.randrange(len(message))])
            else:
                request.wfile.write(message)
                request.wfile.flush()
                time.sleep(0.02)
                request.wfile.write(message)
            return
        if is_engine:
            self._stream(request)
        else:
            time.sleep(self.answer_delay_s)
            request.wfile.write(message)


class PairsWorld(EntryCase):
    """Not a test of its own; tests and the program below call play()."""

    def start(self, seed):
        self.chance = random.Random(seed)
        self.start_entries(INSTANCES)
        for replica in (*self.engines, *self.shops):
            replica.state = "draining"
            replica.publish_heartbeat()
        self.replicas = []
        for index in range(6):
            self.add_replica(index)
        self.version = 1
        self.apply()
        self.number = 0
        self.broken, self.counts = [], collections.Counter()
        for entry in self.entries:
            wait_until(lambda entry=entry: f"target={self.replicas[-1].name} " in entry.output(), f"{entry.name} knows all replicas", 10)
        time.sleep(2.2)  # the drain bound of the first replicas

    def add_replica(self, index):
        is_engine = index % 2 == 0
        name = f"p-{len(self.platform.replicas)}"
        replica = PairReplica(self.platform, name, "pool" if is_engine else "shop", ("north", "south")[index // 2 % 2], chance=random.Random(self.chance.random()),
                              models=["m"] if is_engine else [])
        replica.event_interval_s, replica.answer_delay_s = 0.1, 0.1
        self.platform.replicas.append(replica)
        self.replicas.append(replica)

    def document(self, without=(), changed=()):
        document = config(self.version)
        document["routes"] += [route("more", "/more/", "safe", "shop"), route("more-talk", "/more-talk/", "streaming", "pool", resumable=True),
                               route("more-steps", "/more-steps/", "rollout", "pool", resultDeadlineMs=7500, itemTtlS=40)]
        document["routes"] = [entry for entry in document["routes"] if entry["name"] not in without] + list(changed)
        return document

    def apply(self, without=(), changed=()):
        self.version += 1
        self.platform.put_config(self.document(without, changed))

    def violate(self, rule, what):
        self.broken.append(f"{rule}: {what}")

    # --- Load -----------------------------------------------------------------------------------------

    def next_id(self, kind):
        self.number += 1
        return f"{kind}{self.number:06}"

    def runs_of(self, request_id):
        return [run for replica in self.replicas for run in replica.runs if run[1] == request_id]

    def run_caller(self, index, until, prefix):
        """Plain requests on kept connections, until these end."""
        connections = {}
        while time.monotonic() < until:
            entry = self.entries[self.chance.randrange(INSTANCES)]
            request_id = self.next_id("r")
            body = f"body of {request_id} ".encode() * 20
            connection = connections.get(entry.pid) or http.client.HTTPConnection(entry.callers.removeprefix("http://"), timeout=CLIENT_TIMEOUT_S)
            try:
                connection.request("POST", prefix + "part/x", body, {**HOST, **KEY, "Attempt-Id": request_id, "Deadline-Ms": "3000"})
                response = connection.getresponse()
                status, data = response.status, response.read()
                is_stream = response.headers.get("Content-Type") == "text/event-stream"
                is_framed = not response.will_close or "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
                connections[entry.pid] = connection
            except CONNECTION_ERRORS:
                connections.pop(entry.pid, None)
                connection.close()
                status, data, is_stream, is_framed = 0, b"", False, False
            self.counts["requests"] += 1
            if status == 200 and is_framed and not (is_stream and prefix == "/more/") and data != body:
                self.violate("MIXED", f"{request_id} got {len(data)} of {len(body)} bytes: {data[:40]!r}")
            self.check_plain(request_id, prefix, status)
            time.sleep(0.03)

    def check_plain(self, request_id, prefix, status):
        runs = self.runs_of(request_id)
        if prefix == "/once/" and len(runs) > 1:
            self.violate("TWICE", f"{request_id} ran {len(runs)} times")
        if prefix == "/once/" and status in NOT_RUN and runs:
            self.violate("REFUSED", f"{request_id} was refused with {status} and ran")
        if status in (401, 404) and not prefix.startswith("/more"):
            self.violate("DENIED", f"{request_id} got {status}")
        if status == 0 and runs and self.only_planned:
            self.violate("LOST", f"{request_id} was passed on and got no answer")

    def run_streamer(self, index, until, prefix):
        while time.monotonic() < until:
            request_id = self.next_id("s")
            data, tries = [], 0
            while tries < 3:
                tries += 1
                attempt = request_id if tries == 1 else f"{request_id}-{tries}"
                resume = {"Last-Event-Id": str(len(data)), "Resumes": request_id} if data else {}
                more, ended_as_complete = self.read_stream(self.entries[self.chance.randrange(INSTANCES)], prefix, attempt, resume)
                data += more
                if ended_as_complete:
                    break
            self.counts["streams"] += 1
            if ended_as_complete and data != [f"e{number}" for number in range(1, EVENTS_OF_A_TEXT + 1)]:
                self.violate("ORDER", f"{request_id} ended as complete with {data} in {tries} tries")

    @staticmethod
    def read_stream(entry, prefix, attempt, more):
        data = []
        headers = {**HOST, **KEY, "Attempt-Id": attempt, "Deadline-Ms": "3000", "Model": "m", **more}
        try:
            with Stream("POST", entry.callers + prefix + "x", attempt.encode(), headers, timeout=CLIENT_TIMEOUT_S) as stream:
                if stream.status != 200:
                    return data, False
                for line in stream.lines():
                    if line.startswith("data: "):
                        data.append(line.removeprefix("data: "))
        except CONNECTION_ERRORS:
            return data, False
        return data, True

    def submit_batch(self, prefix, judge_path="/judge/x"):
        """Submits until it is accepted, each time at another instance, as callers do; returns the id, or nothing."""
        batch_id = self.next_id("b")
        body = submission(4, step=self.number)
        for item in body["items"]:
            item["path"] = prefix + batch_id + "/" + item["id"]
            item["scoringUrl"]["path"] = judge_path
        self.items[batch_id] = [item["id"] for item in body["items"]]
        for _ in range(8):
            entry = self.entries[self.chance.randrange(INSTANCES)]
            try:
                response = call("POST", entry.callers + prefix + batch_id, json.dumps(body).encode(), {**HOST, **KEY, "Attempt-Id": batch_id, "Deadline-Ms": "2000"}, timeout=CLIENT_TIMEOUT_S)
                if response.status == 202:
                    self.bodies[batch_id] = (prefix, body)
                    return batch_id
            except CONNECTION_ERRORS:
                pass
            time.sleep(0.2)
        return None

    def run_submitter(self, index, until, prefix):
        while time.monotonic() < until:
            batch_id = self.submit_batch(prefix, "/judge/part/x" if index % 2 else "/judge/x")
            if batch_id:
                self.accepted.append(batch_id)
            time.sleep(0.7)

    # --- Events -----------------------------------------------------------------------------------------

    def restart(self, *indices):
        """Has play() start these instances: the kernel ends a process with the thread that started it."""
        started = threading.Event()
        self.starts.put((indices, started))
        started.wait(20)
        for index in indices:
            wait_until(self.entries[index].is_ready, f"{self.entries[index].name} is ready again", 20)

    def some_entry(self):
        """An instance that no event acts on yet."""
        with self.event_lock:
            index = self.chance.choice([index for index in range(INSTANCES) if index not in self.taken])
            self.taken.add(index)
            return index

    def route_added(self):
        self.apply(changed=[route("added", "/more/part/", "streaming", "pool", streaming=True, resumable=True)])

    def route_removed(self):
        self.apply(without=("more-talk", "more-steps"))

    def route_moved(self):
        self.apply(without=("more",), changed=[route("more", "/more/", "safe", "pool")])

    def route_kind_changed(self):
        self.apply(changed=[route("judge-part", "/judge/part/", "streaming", "pool", streaming=True, authExempt=True)])

    def planned_stop(self):
        index = self.some_entry()
        self.entries[index].terminate()
        self.entries[index].wait(15)
        self.restart(index)

    def kill_and_restart(self):
        index = self.some_entry()
        self.entries[index].kill()
        time.sleep(0.3)
        self.restart(index)

    def kill_all(self):
        for entry in self.entries:
            if entry.running:
                entry.kill()
        time.sleep(0.5)
        self.restart(*(index for index in range(INSTANCES) if not self.entries[index].running))

    def pause(self):
        entry = self.entries[self.some_entry()]
        entry.pause()
        time.sleep(1.5)
        entry.resume()

    def lost_answers(self):
        for _ in range(15):
            self.platform.store.lose_answers = 1 if self.chance.random() < 0.5 else 0
            time.sleep(0.1)
        self.platform.store.lose_answers = 0

    def silent_store(self):
        self.platform.store.silent_until = time.monotonic() + 1.5
        time.sleep(1.5)

    def busy_store(self):
        self.platform.store.refused_callers = {"all"}
        time.sleep(1.5)
        self.platform.store.refused_callers = set()

    def cut_from_replicas(self):
        address = self.entries[self.some_entry()].source_address
        for replica in self.replicas:
            replica.partition_from([address])
        time.sleep(2)
        for replica in self.replicas:
            replica.heal()

    def spoil(self, how):
        for replica in self.replicas[:4]:
            replica.spoil = how
        time.sleep(2)
        for replica in self.replicas:
            replica.spoil = None

    def replica_cuts(self):
        self.spoil("cut")

    def replica_answers_twice(self):
        self.spoil("twice")

    def replica_breaks(self):
        self.spoil("break")

    def replica_leaves(self):
        leaving = self.replicas[0]
        leaving.state = "draining"
        leaving.publish_heartbeat()
        time.sleep(1)
        self.platform.store.remove("servers/" + leaving.name)
        time.sleep(1)
        leaving.state = "ready"
        leaving.incarnation += 1
        leaving.publish_heartbeat()

    def end_of_batch(self):
        batch_id = self.submit_batch("/steps/")
        if not batch_id:
            return
        time.sleep(0.3)
        for _ in range(6):
            entry = self.entries[self.chance.randrange(INSTANCES)]
            try:
                if call("DELETE", f"{entry.callers}/lots/{batch_id}", None, {**HOST, **KEY}, timeout=CLIENT_TIMEOUT_S).status == 200:
                    self.ended[batch_id] = time.monotonic()
                    return
            except CONNECTION_ERRORS:
                pass
            time.sleep(0.2)

    def repeated_submission(self):
        for batch_id in self.accepted[-3:]:
            prefix, body = self.bodies[batch_id]
            try:
                call("POST", self.entries[self.chance.randrange(INSTANCES)].callers + prefix + batch_id, json.dumps(body).encode(),
                     {**HOST, **KEY, "Attempt-Id": batch_id, "Deadline-Ms": "2000"}, timeout=CLIENT_TIMEOUT_S)
            except CONNECTION_ERRORS:
                pass

    EVENTS = ("route_added", "route_removed", "route_moved", "route_kind_changed", "planned_stop", "kill_and_restart", "kill_all", "pause", "lost_answers", "silent_store", "busy_store",
              "cut_from_replicas", "replica_cuts", "replica_answers_twice", "replica_breaks", "replica_leaves", "end_of_batch", "repeated_submission")
    PLANNED = frozenset(("route_added", "route_removed", "route_moved", "route_kind_changed", "planned_stop", "end_of_batch", "repeated_submission"))

    # --- A pair -------------------------------------------------------------------------------------------

    def play(self, first, second):
        """Plays both events under load; returns what was broken."""
        self.broken, self.counts = [], collections.Counter()
        self.items, self.bodies, self.accepted, self.ended = {}, {}, [], {}
        self.taken, self.event_lock, self.starts = set(), threading.Lock(), queue.Queue()
        self.only_planned = {first, second} <= self.PLANNED
        until = time.monotonic() + LOAD_TIME_S
        load = [(self.run_caller, prefix) for prefix in ("/plain/", "/plain/", "/once/", "/once/", "/more/", "/more/")]
        load += [(self.run_streamer, prefix) for prefix in ("/talk/", "/talk/", "/more-talk/")]
        load += [(self.run_submitter, prefix) for prefix in ("/steps/", "/more-steps/")]
        threads = [threading.Thread(target=run, args=(index, until, prefix), daemon=True) for index, (run, prefix) in enumerate(load)]
        for thread in threads:
            thread.start()
        time.sleep(FIRST_EVENT_AT_S)
        events = [threading.Thread(target=getattr(self, first), daemon=True)]
        events[0].start()
        time.sleep(self.chance.random() * MAX_GAP_S)
        events.append(threading.Thread(target=getattr(self, second), daemon=True))
        events[1].start()
        self.start_until_ended((*events, *threads), time.monotonic() + EVENT_TIMEOUT_S)
        self.settle()
        return self.broken

    def start_until_ended(self, threads, until):
        while any(thread.is_alive() for thread in threads) and time.monotonic() < until:
            try:
                indices, started = self.starts.get(timeout=0.05)
            except queue.Empty:
                continue
            for index in indices:
                if not self.entries[index].running:
                    self.entries[index] = self.entry(index)
            started.set()
        if any(thread.is_alive() for thread in threads):
            self.violate("STUCK", "an event or a client does not end")

    def settle(self):
        """Afterwards: all instances run, all batches complete and read alike everywhere, nothing runs that was ended."""
        self.apply()
        for entry in self.entries:
            if not entry.running:
                self.violate("Fault", f"{entry.name} ended by itself with {entry.exit_code}")
                self.entries[self.entries.index(entry)] = self.entry(self.entries.index(entry))
        for batch_id in self.accepted:
            self.check_batch(batch_id)
        for batch_id, ended_at in self.ended.items():
            time.sleep(max(0.0, ended_at + CANCEL_S + 1 - time.monotonic()))
            late = [run for item in self.items[batch_id] for run in self.runs_of(item) if run[0] > ended_at + CANCEL_S and run[2].startswith("/steps/")]
            if late:
                self.violate("UNASKED", f"{len(late)} items of {batch_id} ran {late[0][0] - ended_at:.1f} s after its end")

    def check_batch(self, batch_id):
        self.counts["batches"] += 1
        answers = {}

        def is_read_alike():
            for entry in self.entries:
                response = call("GET", f"{entry.callers}/lots/{batch_id}?after=0", headers={**HOST, **KEY}, timeout=CLIENT_TIMEOUT_S)
                answers[entry.name] = (response.status, response.json["results"] if response.status == 200 else None)
            return all(status == 200 and results == answers[self.entries[0].name][1] and len(results) == len(self.items[batch_id]) for status, results in answers.values())

        try:
            wait_until(is_read_alike, f"results of {batch_id}", SETTLE_S, every=0.2)
        except AssertionError:
            self.violate("LOST", f"{batch_id}: " + ", ".join(f"{name} {status} {'-' if results is None else len(results)}" for name, (status, results) in answers.items()))
            return
        for result in answers[self.entries[0].name][1]:
            if (result["state"], result.get("text")) != ("completed", TEXT) or not result.get("score", "").startswith("stamp"):
                self.violate("MIXED", f"{batch_id}: {result}")


def all_pairs():
    return list(itertools.combinations_with_replacement(PairsWorld.EVENTS, 2))


def play_pairs(world, pairs, out=sys.stdout):
    """Plays the pairs in one world and prints a table; returns what was broken, by pair."""
    broken, totals = {}, collections.Counter()
    for first, second in pairs:
        failures = world.play(first, second)
        totals.update(world.counts)
        print(f"{first}+{second}: {dict(world.counts)}, broken: {len(failures)}", file=out, flush=True)
        for failure in failures[:4]:
            print("    " + failure, file=out, flush=True)
        if failures:
            broken[first, second] = failures
    print(f"{len(pairs)} pairs, {totals['requests']} requests, {totals['streams']} streams, {totals['batches']} batches; {len(broken)} pairs broken", file=out, flush=True)
    return broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", help="FIRST+SECOND,...; all if left out")
    options = parser.parse_args()
    pairs = [tuple(pair.split("+")) for pair in options.pairs.split(",")] if options.pairs else all_pairs()

    class Run(PairsWorld):
        def runTest(self):
            self.start(options.seed)
            self.assertEqual(play_pairs(self, pairs), {})

    return 0 if unittest.TextTestRunner(verbosity=0).run(Run()).wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
