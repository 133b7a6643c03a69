#!/usr/bin/env python3
"""Faults together: a seeded schedule of faults against real daemons under load,
with all promises checked afterwards by checker.py.

Every fault of FAULTS comes alone, with each other one, and twice in a row, in an
order that follows from the seed, until the time is over.

    python3 tests/process/soak.py --seed 1 --seconds 600
    python3 tests/process/soak.py --seed 1 --faults kv_outage+daemon_kill
"""

import argparse
import collections
import itertools
import json
import pathlib
import random
import sys
import threading
import time

from actors import Caller, Operator, Traffic, Trainer, collect, send_state
import checker
from fleet import CONFIGURATION, Fleet
from kit import Kit, get, post, wait_until
from observations import Observations

ACCOUNTS = """
[[client_account]]
name = "canol"
labels = { tier = "silver" }

[[client_account]]
name = "gate"
labels = { tier = "silver" }
"""
CALLER_ACCOUNTS = ("bach", "canol", "gate")
REQUESTS_PER_SECOND = 30
HOLD_S = 1.2
HEAL_S = 0.6
SETTLE_S = 60
RESTART_MS = 700
LEASE_S = 1.0  # as the fleet's settings have it
CHEAP = ("engine-3", "engine-0")  # slots that may vanish at once


class Scene:
    """The deployment under test with its actors; faults act on it."""

    def __init__(self, kit, seed, rate=REQUESTS_PER_SECOND):
        self.random = random.Random(seed)
        self.seen = Observations()
        self.lock = threading.Lock()  # guards the next
        self.busy = set()  # daemons that a fault has at the moment
        self.caused = collections.Counter()
        self.fleet = Fleet(kit, configuration=CONFIGURATION + ACCOUNTS)
        # The platform starts targets anew only on order; these two are cheap ones.
        slots = [{**slot, "kind": "cheap", "price_micro_per_hour": 500_000}
                 for slot in (self.fleet._slot(self.fleet.engines[int(name[-1])], "model-pool", int(name[-1])) for name in CHEAP)]
        post(self.fleet.platform.control + "/setup", {"slots": slots})
        self.fleet.ready()
        self.seen.accepted += [{"label": "tier", "value": "silver", "began": 0, "accepted": 1e-9, "revision": 0}]
        self.caller = Caller(self.fleet, self.seen, seed)
        self.traffic = Traffic(self.caller, CALLER_ACCOUNTS, rate)
        for account in CALLER_ACCOUNTS:
            self.traffic.keys[account] = self.grant(account)
        self.traffic.keys["trainer"] = ("trainer", self.fleet.keys["trainer"])
        self.seen.keys += list(self.fleet.keys.values())
        self.trainer = Trainer(self.fleet, self.seen, seed, self.fleet.keys["trainer"])
        self.operator = Operator(self.fleet, self.seen, seed)

    def grant(self, account):
        """A key that all entries know: (id, raw); None if the operator didn't get one."""
        free = [name for name in self.fleet.names if name not in self.busy]
        done = self.fleet.ctl("-o", "json", "keys", "grant", "--account", account, on=free[0], check=False)
        if done.returncode != 0:
            return None
        granted = json.loads(done.stdout)
        made = (granted["id"], granted["key"])
        self.seen.keys.append(made[1])
        for name in self.fleet.names:
            wait_until(lambda name=name: name in self.busy or self.knows(name, account, *made), f"key known at {name}", seconds=15, every=0.1)
        return made

    def knows(self, name, account, key_id, key):
        plan = {**self.caller.plan(account, "service", "GET", key, key_id), "entry": name}
        return self.caller.send(plan)["outcome"] == "ok"

    def take_daemon(self):
        """A daemon that no other fault has, so that three of four always run; None if there is none."""
        with self.lock:
            free = [name for name in self.fleet.names if name not in self.busy]
            if len(free) < 3:
                return None
            name = self.random.choice(free)
            self.busy.add(name)
            return name

    def give_back(self, name):
        with self.lock:
            self.busy.discard(name)

    def restart(self, name):
        daemon = self.fleet.start(name, wait=False)
        wait_until(lambda: get(daemon.operators + "/healthz").status == 200, f"restart of {name}", seconds=30)
        self.give_back(name)

    def engine(self):
        return self.random.choice(self.fleet.engines)

    def start(self):
        for actor in (self.traffic, self.trainer, self.operator):
            actor.start()

    def finish(self):
        """Ends the traffic, lets windows close, and fetches all records."""
        for actor in (self.operator, self.trainer, self.traffic):
            actor.finish()
        ended = time.time()
        settled = {"count": -1, "since": ended}

        def quiet():
            count = len(get(self.fleet.platform.control + "/usage").json["reports"])
            if count != settled["count"]:
                settled.update(count=count, since=time.time())
            return time.time() - settled["since"] > 8
        wait_until(quiet, "usage windows settle", seconds=SETTLE_S, every=0.5)
        collect(self.fleet, self.seen)


# Each fault is a generator: it causes the fault, yields while it lasts, and mends it.

def engine_crash(scene):
    scene.engine().faults(crash=True, restart_ms=RESTART_MS)
    yield


def engine_hang(scene):
    engine = scene.engine()
    engine.faults(hang=True)
    yield
    engine.faults(hang=False)


def daemon_kill(scene):
    name = scene.take_daemon()
    if not name:
        return
    scene.fleet.daemons[name].kill()
    scene.seen.kills.append({"entry": name, "at": time.time()})
    yield
    scene.restart(name)


def daemon_pause(scene):
    name = scene.take_daemon()
    if not name:
        return
    daemon = scene.fleet.daemons[name]
    daemon.pause()
    yield
    time.sleep(LEASE_S)
    daemon.resume()
    scene.give_back(name)


def planned_stop(scene):
    name = scene.take_daemon()
    if not name:
        return
    daemon = scene.fleet.daemons[name]
    stop = {"entry": name, "began": time.time(), "ended": None, "exit": None}
    daemon.terminate()
    yield
    stop["exit"] = daemon.finish(20)
    stop["ended"] = time.time()
    scene.seen.stops.append(stop)
    scene.restart(name)


def kv_fault(**faults):
    def cause(scene):
        scene.fleet.kv.faults(**faults)
        yield
        scene.fleet.kv.faults(**{name: 0 if isinstance(value, int) and not isinstance(value, bool) else False for name, value in faults.items()})
    return cause


def kv_cut_watches(scene):
    scene.fleet.kv.faults(cut_watches=4, drop_events=2)
    yield
    scene.fleet.kv.faults(cut_watches=0, drop_events=0)


def lapse_leases(scene):
    scene.fleet.kv.faults(lapse_leases=True)
    yield


def engine_fault(**faults):
    def cause(scene):
        scene.engine().faults(**faults)
        yield
    return cause


def failed_swaps(scene):
    for engine in scene.fleet.engines:
        engine.faults(fail_swaps=1)
    yield


def lost_orders(scene):
    engine = scene.engine()
    engine.faults(lose_answers=3, path="/orders")
    yield
    engine.faults(lose_answers=0, path="")


def crossed_answers(scene):
    scene.engine().faults(cross_answers=2)
    scene.random.choice(scene.fleet.services).faults(cross_answers=2)
    yield


def service_crash(scene):
    scene.random.choice(scene.fleet.services).faults(crash=True, restart_ms=RESTART_MS)
    yield


def service_answers_lost(scene):
    service = scene.random.choice(scene.fleet.services)
    service.faults(lose_answers=3, path="/stock")
    yield
    service.faults(lose_answers=0, path="")


def service_requests_dropped(scene):
    service = scene.random.choice(scene.fleet.services)
    service.faults(drop_requests=3, path="/stock")
    yield
    service.faults(drop_requests=0, path="")


def reports_lost(scene):
    scene.fleet.platform.faults(lose_answers=4, path="/usage")
    yield
    scene.fleet.platform.faults(lose_answers=0, path="")


def key_withdrawn(scene):
    """A key of its own is used without a break, withdrawn, and used on."""
    granted = scene.grant("canol")
    if not granted:
        return
    key_id, raw = granted
    ending = threading.Event()

    def use():
        while not ending.is_set():
            kind = scene.random.choice(("engine", "service"))
            plan = scene.caller.plan("canol", kind, "POST", raw, key_id, most_tokens=60)
            threading.Thread(target=scene.caller.send, args=(plan,), daemon=True).start()
            time.sleep(0.08)
    user = threading.Thread(target=use, daemon=True)
    user.start()
    time.sleep(0.4)
    done = scene.fleet.ctl("keys", "withdraw", key_id, on=scene.random.choice(scene.fleet.names), check=False)
    if done.returncode == 0:
        scene.seen.withdrawals.append({"key_id": key_id, "account": "canol", "accepted": time.time()})
    yield
    time.sleep(scene.seen.bounds.withdrawal_s)
    ending.set()
    user.join(20)


def operators_race(scene):
    def race(entry):
        for value in ("silver", "closed", "silver"):
            scene.operator.change("tier", value, entry)
    racers = [threading.Thread(target=race, args=(name,), daemon=True) for name in scene.random.sample(scene.fleet.names, 2)]
    for racer in racers:
        racer.start()
    yield
    for racer in racers:
        racer.join(60)


def targets_leave(scene):
    """A firm target is said to leave; it works on, and is back later."""
    gone = {item["target"] for item in scene.seen.leaving if item["ended"] is None}
    target = scene.random.choice([one for one in scene.fleet.engines[1:3] + scene.fleet.services if one.name not in gone])
    item = {"target": target.name, "began": time.time(), "ended": None}
    scene.seen.leaving.append(item)
    send_state(scene.fleet, state="leaving", id=target.name, after_ms=60000)
    yield
    time.sleep(scene.seen.bounds.leaving_s + 1)
    item["ended"] = time.time()
    send_state(scene.fleet, state="live", id=target.name)


def cheap_domain_gone(scene):
    """A cheap target is reclaimed: told at once, gone after a moment."""
    name = scene.random.choice(CHEAP)
    engine = scene.fleet.engines[int(name[-1])]
    send_state(scene.fleet, state="leaving", id=name, after_ms=300)
    time.sleep(0.3)
    engine.faults(crash=True, restart_ms=0)
    yield
    engine.faults(restart=True)
    send_state(scene.fleet, state="live", id=name)


def poison_request(scene):
    """One request crashes each engine that runs it, and its caller sends it again."""
    word = f"poison-{scene.random.randrange(10**6)}"
    for engine in scene.fleet.engines:
        engine.faults(poison=word, restart_ms=RESTART_MS)
    key_id, raw = scene.traffic.keys["bach"]
    for _ in range(4):
        scene.caller.send(scene.caller.plan("bach", "engine", "POST", raw, key_id, text=word + " "))
    yield
    for engine in scene.fleet.engines:
        engine.faults(poison="", restart=True)


FAULTS = {
    "engine_crash": engine_crash,
    "engine_hang": engine_hang,
    "daemon_kill": daemon_kill,
    "daemon_pause": daemon_pause,
    "planned_stop": planned_stop,
    "kv_outage": kv_fault(outage=True),
    "kv_slow": kv_fault(slow_ms=300),
    "kv_answers_lost": kv_fault(lose_answers=12),
    "kv_stale_reads": kv_fault(stale_revisions=60),
    "kv_cut_watches": kv_cut_watches,
    "lapse_leases": lapse_leases,
    "failed_swaps": failed_swaps,
    "lost_orders": lost_orders,
    "cut_streams": engine_fault(truncate_streams=3),
    "cleanly_cut_streams": engine_fault(truncate_cleanly=3),
    "unversioned_chunks": engine_fault(unversioned_chunks=3),
    "crossed_answers": crossed_answers,
    "service_crash": service_crash,
    "service_answers_lost": service_answers_lost,
    "service_requests_dropped": service_requests_dropped,
    "reports_lost": reports_lost,
    "key_withdrawn": key_withdrawn,
    "operators_race": operators_race,
    "targets_leave": targets_leave,
    "cheap_domain_gone": cheap_domain_gone,
    "poison_request": poison_request,
}


def schedule(seed):
    """Episodes without end: each fault alone, each pair, each twice, in a seeded order."""
    source = random.Random(seed)
    names = sorted(FAULTS)
    while True:
        episodes = [(name,) for name in names] + list(itertools.combinations(names, 2)) + [(name, name) for name in names]
        source.shuffle(episodes)
        yield from episodes


def run_episode(scene, names, hold=HOLD_S):
    """Causes the faults shortly after each other, holds them and mends them in the order of their coming."""
    begun = time.time()
    under_way = []
    for name in names:
        fault = FAULTS[name](scene)
        try:
            next(fault)
        except StopIteration:
            continue  # there was nothing to cause it on
        scene.caused[name] += 1
        under_way.append(fault)
        time.sleep(scene.random.uniform(0, 0.3))
    time.sleep(hold)
    for fault in under_way:
        next(fault, None)
    scene.seen.faults.append({"names": names, "began": begun, "ended": time.time()})
    time.sleep(HEAL_S)


def run(kit, seed, episodes, seconds, hold=HOLD_S, verbose=False):
    """Runs the episodes for at most so many seconds; returns the scene with all observations."""
    scene = Scene(kit, seed)
    scene.start()
    end = time.monotonic() + seconds
    for names in episodes:
        if time.monotonic() >= end:
            break
        if verbose:
            print(f"{time.time():.2f} {'+'.join(names)}", flush=True)
        run_episode(scene, names, hold)
    scene.finish()
    return scene


def longest_wait(seen):
    """Seconds for which the trainer got no new batch, between its first word and the last fault's end."""
    if not seen.versions or not seen.faults:
        return 0.0
    times = [seen.versions[0]["began"]] + [batch["ended"] for batch in seen.batches if not batch["repeat"]]
    times.append(max(times[-1], max(fault["ended"] for fault in seen.faults)))
    return max(later - earlier for earlier, later in zip(times, times[1:]))


def table(scene, violations):
    """The counts of a run as text."""
    seen = scene.seen
    outcomes = collections.Counter(request["outcome"] for request in seen.requests)
    samples = checker.samples_of(seen)
    lines = [f"faults caused      {sum(scene.caused.values())} in {len(seen.faults)} episodes, {len(scene.caused)} kinds",
             f"requests           {len(seen.requests)}: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items())),
             f"samples            {len(samples)} in {len({b['cursor'] for b in seen.batches})} steps, {sum(b['repeat'] for b in seen.batches)} batches asked for again",
             f"longest wait       {longest_wait(seen):.1f} s without a new batch",
             f"trainer refused    {sum(scene.trainer.refusals.values())}, mostly " + "; ".join(f"{count} x {reason}" for reason, count in scene.trainer.refusals.most_common(4)),
             f"usage windows      {len(seen.usage['windows'])} of accounts, {len(seen.usage['reports'])} reports",
             f"engine attempts    {len(seen.attempts())}; orders {sum(len(e['orders']) for e in seen.engines)}",
             f"configuration      {sum(1 for c in seen.accepted if c['accepted'])} changes accepted, {len(seen.readings)} readings; {len(seen.withdrawals)} keys withdrawn",
             f"promises checked   {len(checker.PROMISES)}"]
    by_promise = collections.Counter(violation.promise for violation in violations)
    lines.append(f"violations         {len(violations)}")
    lines += [f"  {promise.__name__:32} {by_promise[promise.__name__]}" for promise in checker.PROMISES]
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--faults", help="only these episodes, as a+b,c; default is the seeded schedule")
    parser.add_argument("--keep", help="folder for the observations and the daemons' logs")
    parser.add_argument("--verbose", action="store_true")
    given = parser.parse_args()
    episodes = schedule(given.seed)
    if given.faults:
        episodes = [tuple(part.split("+")) for part in given.faults.split(",")]
    with Kit() as kit:
        scene = run(kit, given.seed, episodes, given.seconds, verbose=given.verbose)
        violations = checker.check(scene.seen)
        print(f"seed {given.seed}")
        print(table(scene, violations))
        for violation in violations[:40]:
            print(f"- {violation}")
        if given.keep:
            folder = pathlib.Path(given.keep)
            folder.mkdir(parents=True, exist_ok=True)
            (folder / "observations.json").write_text(json.dumps(vars(scene.seen), default=vars))
            for program in kit.programs:
                (folder / program.log_path.name).write_bytes(program.log_path.read_bytes())
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
