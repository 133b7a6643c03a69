#!/usr/bin/env python3
"""Soak test: injects a seeded schedule of faults into real daemons under load, then
checks all guarantees with checker.py.

Every fault of FAULTS is injected alone, together with each other fault, and twice
together with itself, in an order derived from the seed, until the time is over.

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

from actors import Caller, Operator, Traffic, Trainer, collect_standin_records, set_platform_state
import checker
from fleet import CONFIGURATION, Fleet
from kit import Kit, get, post, wait_until
from observations import Observations

EXTRA_ACCOUNTS = """
[[client_account]]
name = "canol"
labels = { tier = "silver" }

[[client_account]]
name = "gate"
labels = { tier = "silver" }
"""
CALLER_ACCOUNTS = ("bach", "canol", "gate")
REQUESTS_PER_SECOND = 30
FAULT_DURATION_S = 1.2
RECOVERY_S = 0.6
USAGE_SETTLE_TIMEOUT_S = 60
RESTART_MS = 700
LEASE_S = 1.0  # timing.lease in the fleet's settings
CHEAP_TARGETS = ("engine-3", "engine-0")  # target slots set up as cheap, which may be reclaimed at any time


class Testbed:
    """The deployment under test with its traffic, trainer and operator; faults are injected into it."""

    def __init__(self, kit, seed, rate=REQUESTS_PER_SECOND):
        self.random = random.Random(seed)
        self.observed = Observations()
        self.lock = threading.Lock()  # guards faulted_daemons
        self.faulted_daemons = set()  # daemons that a fault is acting on
        self.fault_counts = collections.Counter()
        self.fleet = Fleet(kit, configuration=CONFIGURATION + EXTRA_ACCOUNTS)
        # The platform restarts targets only when ordered to. The CHEAP_TARGETS replace the fleet's firm slots.
        slots = [{**slot, "kind": "cheap", "price_micro_per_hour": 500_000}
                 for slot in (self.fleet.target_slot(self.fleet.engines[int(name[-1])], "model-pool", int(name[-1])) for name in CHEAP_TARGETS)]
        post(self.fleet.platform.control + "/setup", {"slots": slots})
        self.fleet.set_up()
        # The tier label of the applied configuration counts as the first accepted change.
        self.observed.accepted += [{"label": "tier", "value": "silver", "began": 0, "accepted": 1e-9, "revision": 0}]
        self.caller = Caller(self.fleet, self.observed, seed)
        self.traffic = Traffic(self.caller, CALLER_ACCOUNTS, rate)
        for account in CALLER_ACCOUNTS:
            self.traffic.keys[account] = self.grant(account)
        self.traffic.keys["trainer"] = ("trainer", self.fleet.keys["trainer"])
        self.observed.keys += list(self.fleet.keys.values())
        self.trainer = Trainer(self.fleet, self.observed, seed, self.fleet.keys["trainer"])
        self.operator = Operator(self.fleet, self.observed, seed)

    def grant(self, account):
        """Grants a key and waits until all entries accept it: (id, raw); None if the grant failed."""
        free_daemons = [name for name in self.fleet.daemon_names if name not in self.faulted_daemons]
        result = self.fleet.ctl("-o", "json", "keys", "grant", "--account", account, on=free_daemons[0], check=False)
        if result.returncode != 0:
            return None
        granted = json.loads(result.stdout)
        granted_key = (granted["id"], granted["key"])
        self.observed.keys.append(granted_key[1])
        for name in self.fleet.daemon_names:
            wait_until(lambda name=name: name in self.faulted_daemons or self.accepts_key(name, account, *granted_key), f"key accepted at {name}", seconds=15, every=0.1)
        return granted_key

    def accepts_key(self, name, account, key_id, key):
        request = {**self.caller.make_request(account, "service", "GET", key, key_id), "entry": name}
        return self.caller.send(request)["outcome"] == "ok"

    def reserve_daemon(self):
        """Reserves a daemon for one fault; None if two are reserved already, so that at least two of the four always run."""
        with self.lock:
            free_daemons = [name for name in self.fleet.daemon_names if name not in self.faulted_daemons]
            if len(free_daemons) < 3:
                return None
            name = self.random.choice(free_daemons)
            self.faulted_daemons.add(name)
            return name

    def release_daemon(self, name):
        with self.lock:
            self.faulted_daemons.discard(name)

    def restart(self, name):
        daemon = self.fleet.start(name, wait=False)
        wait_until(lambda: get(daemon.operators + "/healthz").status == 200, f"restart of {name}", seconds=30)
        self.release_daemon(name)

    def random_engine(self):
        return self.random.choice(self.fleet.engines)

    def start(self):
        for actor in (self.traffic, self.trainer, self.operator):
            actor.start()

    def finish(self):
        """Stops the traffic, waits until no more usage reports arrive, and collects all records."""
        for actor in (self.operator, self.trainer, self.traffic):
            actor.finish()
        ended = time.time()
        last_count = {"count": -1, "since": ended}

        def reports_settled():
            count = len(get(self.fleet.platform.control + "/usage").json["reports"])
            if count != last_count["count"]:
                last_count.update(count=count, since=time.time())
            return time.time() - last_count["since"] > 8
        wait_until(reports_settled, "no new usage reports", seconds=USAGE_SETTLE_TIMEOUT_S, every=0.5)
        collect_standin_records(self.fleet, self.observed)


# Each fault is a generator: it injects the fault, yields while the fault lasts, and then removes it.

def engine_crash(testbed):
    testbed.random_engine().faults(crash=True, restart_ms=RESTART_MS)
    yield


def engine_hang(testbed):
    engine = testbed.random_engine()
    engine.faults(hang=True)
    yield
    engine.faults(hang=False)


def daemon_kill(testbed):
    name = testbed.reserve_daemon()
    if not name:
        return
    testbed.fleet.daemons[name].kill()
    testbed.observed.kills.append({"entry": name, "at": time.time()})
    yield
    testbed.restart(name)


def daemon_pause(testbed):
    name = testbed.reserve_daemon()
    if not name:
        return
    daemon = testbed.fleet.daemons[name]
    daemon.pause()
    yield
    time.sleep(LEASE_S)
    daemon.resume()
    testbed.release_daemon(name)


def planned_stop(testbed):
    name = testbed.reserve_daemon()
    if not name:
        return
    daemon = testbed.fleet.daemons[name]
    stop = {"entry": name, "began": time.time(), "ended": None, "exit": None}
    daemon.terminate()
    yield
    stop["exit"] = daemon.finish(20)
    stop["ended"] = time.time()
    testbed.observed.stops.append(stop)
    testbed.restart(name)


def kv_fault(**faults):
    def inject(testbed):
        testbed.fleet.kv.faults(**faults)
        yield
        testbed.fleet.kv.faults(**{name: 0 if isinstance(value, int) and not isinstance(value, bool) else False for name, value in faults.items()})
    return inject


def kv_cut_watches(testbed):
    testbed.fleet.kv.faults(cut_watches=4, drop_events=2)
    yield
    testbed.fleet.kv.faults(cut_watches=0, drop_events=0)


def lapse_leases(testbed):
    testbed.fleet.kv.faults(lapse_leases=True)
    yield


def engine_fault(**faults):
    def inject(testbed):
        testbed.random_engine().faults(**faults)
        yield
    return inject


def failed_weight_swaps(testbed):
    for engine in testbed.fleet.engines:
        engine.faults(fail_swaps=1)
    yield


def lost_orders(testbed):
    engine = testbed.random_engine()
    engine.faults(lose_answers=3, path="/orders")
    yield
    engine.faults(lose_answers=0, path="")


def crossed_answers(testbed):
    testbed.random_engine().faults(cross_answers=2)
    testbed.random.choice(testbed.fleet.services).faults(cross_answers=2)
    yield


def service_crash(testbed):
    testbed.random.choice(testbed.fleet.services).faults(crash=True, restart_ms=RESTART_MS)
    yield


def service_answers_lost(testbed):
    service = testbed.random.choice(testbed.fleet.services)
    service.faults(lose_answers=3, path="/stock")
    yield
    service.faults(lose_answers=0, path="")


def service_requests_dropped(testbed):
    service = testbed.random.choice(testbed.fleet.services)
    service.faults(drop_requests=3, path="/stock")
    yield
    service.faults(drop_requests=0, path="")


def reports_lost(testbed):
    testbed.fleet.platform.faults(lose_answers=4, path="/usage")
    yield
    testbed.fleet.platform.faults(lose_answers=0, path="")


def key_withdrawn(testbed):
    """Uses a new key continuously, withdraws it, and keeps using it."""
    granted = testbed.grant("canol")
    if not granted:
        return
    key_id, raw = granted
    stop_requested = threading.Event()

    def send_requests():
        while not stop_requested.is_set():
            kind = testbed.random.choice(("engine", "service"))
            request = testbed.caller.make_request("canol", kind, "POST", raw, key_id, max_tokens=60)
            threading.Thread(target=testbed.caller.send, args=(request,), daemon=True).start()
            time.sleep(0.08)
    sender = threading.Thread(target=send_requests, daemon=True)
    sender.start()
    time.sleep(0.4)
    result = testbed.fleet.ctl("keys", "withdraw", key_id, on=testbed.random.choice(testbed.fleet.daemon_names), check=False)
    if result.returncode == 0:
        testbed.observed.withdrawals.append({"key_id": key_id, "account": "canol", "accepted": time.time()})
    yield
    time.sleep(testbed.observed.bounds.withdrawal_s)
    stop_requested.set()
    sender.join(20)


def operators_race(testbed):
    def change_labels(entry):
        for value in ("silver", "closed", "silver"):
            testbed.operator.change_label("tier", value, entry)
    operators = [threading.Thread(target=change_labels, args=(name,), daemon=True) for name in testbed.random.sample(testbed.fleet.daemon_names, 2)]
    for operator in operators:
        operator.start()
    yield
    for operator in operators:
        operator.join(60)


def target_leaves(testbed):
    """The platform reports a firm target as leaving; the target keeps working and returns later."""
    already_leaving = {record["target"] for record in testbed.observed.leaving if record["ended"] is None}
    target = testbed.random.choice([candidate for candidate in testbed.fleet.engines[1:3] + testbed.fleet.services if candidate.name not in already_leaving])
    record = {"target": target.name, "began": time.time(), "ended": None}
    testbed.observed.leaving.append(record)
    set_platform_state(testbed.fleet, state="leaving", id=target.name, after_ms=60000)
    yield
    time.sleep(testbed.observed.bounds.leaving_s + 1)
    record["ended"] = time.time()
    set_platform_state(testbed.fleet, state="live", id=target.name)


def cheap_target_reclaimed(testbed):
    """A cheap target is reclaimed: the platform gives notice and the target crashes shortly after."""
    name = testbed.random.choice(CHEAP_TARGETS)
    engine = testbed.fleet.engines[int(name[-1])]
    set_platform_state(testbed.fleet, state="leaving", id=name, after_ms=300)
    time.sleep(0.3)
    engine.faults(crash=True, restart_ms=0)
    yield
    engine.faults(restart=True)
    set_platform_state(testbed.fleet, state="live", id=name)


def poison_request(testbed):
    """One request crashes each engine that runs it, and its caller sends it again and again."""
    poison_marker = f"poison-{testbed.random.randrange(10**6)}"
    for engine in testbed.fleet.engines:
        engine.faults(poison=poison_marker, restart_ms=RESTART_MS)
    key_id, raw = testbed.traffic.keys["bach"]
    for _ in range(4):
        testbed.caller.send(testbed.caller.make_request("bach", "engine", "POST", raw, key_id, text=poison_marker + " "))
    yield
    for engine in testbed.fleet.engines:
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
    "failed_swaps": failed_weight_swaps,
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
    "targets_leave": target_leaves,
    "cheap_domain_gone": cheap_target_reclaimed,
    "poison_request": poison_request,
}


def schedule(seed):
    """Yields episodes endlessly: each fault alone, each pair, and each with itself, in a seeded order."""
    rng = random.Random(seed)
    names = sorted(FAULTS)
    while True:
        episodes = [(name,) for name in names] + list(itertools.combinations(names, 2)) + [(name, name) for name in names]
        rng.shuffle(episodes)
        yield from episodes


def run_episode(testbed, names, fault_duration_s=FAULT_DURATION_S):
    """Injects the faults shortly after each other, keeps them for a time and removes them in the same order."""
    began = time.time()
    active = []
    for name in names:
        fault = FAULTS[name](testbed)
        try:
            next(fault)
        except StopIteration:
            continue  # no daemon or key was available for this fault
        testbed.fault_counts[name] += 1
        active.append(fault)
        time.sleep(testbed.random.uniform(0, 0.3))
    time.sleep(fault_duration_s)
    for fault in active:
        next(fault, None)
    testbed.observed.faults.append({"names": names, "began": began, "ended": time.time()})
    time.sleep(RECOVERY_S)


def run(kit, seed, episodes, seconds, fault_duration_s=FAULT_DURATION_S, verbose=False):
    """Runs the episodes for at most `seconds`; returns the testbed with all observations."""
    testbed = Testbed(kit, seed)
    testbed.start()
    end = time.monotonic() + seconds
    for names in episodes:
        if time.monotonic() >= end:
            break
        if verbose:
            print(f"{time.time():.2f} {'+'.join(names)}", flush=True)
        run_episode(testbed, names, fault_duration_s)
    testbed.finish()
    return testbed


def longest_batch_gap(observed):
    """The longest time in seconds without a new batch, from the trainer's first call to the end of the last fault."""
    if not observed.versions or not observed.faults:
        return 0.0
    times = [observed.versions[0]["began"]] + [batch["ended"] for batch in observed.batches if not batch["repeat"]]
    times.append(max(times[-1], max(fault["ended"] for fault in observed.faults)))
    return max(later - earlier for earlier, later in zip(times, times[1:]))


def summary_table(testbed, violations):
    """The counts of a run as a text table."""
    observed = testbed.observed
    outcomes = collections.Counter(request["outcome"] for request in observed.requests)
    samples = checker.distinct_samples(observed)
    lines = [f"faults caused      {sum(testbed.fault_counts.values())} in {len(observed.faults)} episodes, {len(testbed.fault_counts)} kinds",
             f"requests           {len(observed.requests)}: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items())),
             f"samples            {len(samples)} in {len({b['cursor'] for b in observed.batches})} steps, {sum(b['repeat'] for b in observed.batches)} batches asked for again",
             f"longest wait       {longest_batch_gap(observed):.1f} s without a new batch",
             f"trainer refused    {sum(testbed.trainer.refusals.values())}, mostly " + "; ".join(f"{count} x {reason}" for reason, count in testbed.trainer.refusals.most_common(4)),
             f"usage windows      {len(observed.usage['windows'])} of accounts, {len(observed.usage['reports'])} reports",
             f"engine attempts    {len(observed.attempts())}; orders {sum(len(e['orders']) for e in observed.engines)}",
             f"configuration      {sum(1 for c in observed.accepted if c['accepted'])} changes accepted, {len(observed.readings)} readings; {len(observed.withdrawals)} keys withdrawn",
             f"guarantees checked {len(checker.GUARANTEES)}"]
    by_guarantee = collections.Counter(violation.guarantee for violation in violations)
    lines.append(f"violations         {len(violations)}")
    lines += [f"  {guarantee.__name__:32} {by_guarantee[guarantee.__name__]}" for guarantee in checker.GUARANTEES]
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--faults", help="only these episodes, as a+b,c; default is the seeded schedule")
    parser.add_argument("--keep", help="folder for the observations and the daemons' logs")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    episodes = schedule(options.seed)
    if options.faults:
        episodes = [tuple(part.split("+")) for part in options.faults.split(",")]
    with Kit() as kit:
        testbed = run(kit, options.seed, episodes, options.seconds, verbose=options.verbose)
        violations = checker.check(testbed.observed)
        print(f"seed {options.seed}")
        print(summary_table(testbed, violations))
        for violation in violations[:40]:
            print(f"- {violation}")
        if options.keep:
            folder = pathlib.Path(options.keep)
            folder.mkdir(parents=True, exist_ok=True)
            (folder / "observations.json").write_text(json.dumps(vars(testbed.observed), default=vars))
            for program in kit.programs:
                (folder / program.log_path.name).write_bytes(program.log_path.read_bytes())
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
