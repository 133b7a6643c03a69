"""The instance that reads the desired state for all is cut off from the store, and another one stands still; see claim.txt."""

import copy
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from proxy import Proxy  # noqa: E402
from world import BOUNDS, CONNECTION_ERRORS, KEY, TENANT, TROUBLE, World, call, desired_state, free_ports, main, route  # noqa: E402

ROUNDS = 5
CALM_S = 8  # between the rounds: the disturbance ends, and all are in touch again
CONVERGE_S = BOUNDS["configConvergeMs"] / 1000
CUT_S = 6.9  # the longest for_s of core_cut in the site file
FROZEN_S = 3.2  # the longest for_s of node_freeze there
FREEZE_AFTER_S = 4.5  # the others read from the cut instance again soon
ALONE_S = 1.3  # between two watches if one instance alone watches the desired state

class ProxiedWorld(World):
    """Each instance reaches the store through a proxy of its own."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies, self.watches = {}, []
        self.on_watch = None

    def store_address(self, entry):
        if entry.name not in self.proxies:
            proxy = self.proxies[entry.name] = Proxy(entry.ip, free_ports(), self.store.address)
            proxy.on_request = lambda data, entry=entry: self._seen(entry, data)
        return self.proxies[entry.name].address

    def _seen(self, entry, data):
        if b"GET /kv-watch?prefix=op/config&" in data:
            self.watches.append((time.monotonic(), entry))
            if self.on_watch is not None:
                self.on_watch(entry)

def probe(entry, path, key, name, acked, findings):
    sent = time.monotonic() - acked
    try:
        status = call(entry.front, "POST", path, {"Credential": key, "Attempt-Id": name + path[1], "Deadline-Ms": "2000"}, b"hello", timeout=2).status
    except CONNECTION_ERRORS as fault:
        status = repr(fault)
    findings.append((sent, entry.name, path, key, status))

def run_round(world, state, number):
    """One round: the disruption, a newer desired state, and requests later than configConvergeMs after its ack. Returns how
    many were handled as only the older version allows."""
    reader = world.watches[-1][1]
    world.record(f"round {number}: {reader.name} reads the desired state from the store for all")
    frozen = []
    if TROUBLE:
        world.record(f"{reader.name} is cut off from the store from now on, for {CUT_S} s")
        world.proxies[reader.name].silent = True

        def heal():
            world.proxies[reader.name].silent = False
            world.record(f"{reader.name} reaches the store again")

        threading.Timer(CUT_S, heal).start()
        ready = threading.Event()

        def freeze_if_alone(entry, when):
            time.sleep(0.06)  # the call is on its way to the store, and others that watch would have shown up
            others = [one for at, one in world.watches if when - ALONE_S < at < when + 0.06 and at != when]
            if not others and not frozen:
                frozen.append(entry)
                entry.signal(signal.SIGSTOP)
                ready.set()

        def freeze(entry):
            if entry is not reader:
                threading.Thread(target=freeze_if_alone, args=(entry, world.watches[-1][0]), daemon=True).start()

        time.sleep(FREEZE_AFTER_S)
        world.on_watch = freeze
        if not ready.wait(CUT_S - FREEZE_AFTER_S):
            world.record("the cut instance watches the desired state through no other one alone")
        world.on_watch = None
    else:
        time.sleep(FREEZE_AFTER_S + 1)
    dropped = f"key-{number}-0123456789"
    state["version"] += 3
    state["routes"].append(route(f"fresh{number}", f"/fresh{number}/", "safe", "shop"))
    state["tenants"][0]["apiKeys"].remove(dropped)
    world.store.put("op/config", copy.deepcopy(state))
    acked = time.monotonic()
    world.record(f"the store acknowledges version {state['version']}: a route is new, a key is gone")
    in_touch = [entry for entry in world.entries if entry is not reader and entry not in frozen]
    findings, threads, count = [], [], 0
    resumed = False
    while time.monotonic() - acked < FROZEN_S + 0.2:
        since = time.monotonic() - acked
        if frozen and not resumed and since > FROZEN_S:
            frozen[0].signal(signal.SIGCONT)
            resumed = True
        if since > CONVERGE_S + 0.02:
            for entry in in_touch[:2]:
                count += 1
                for path, key in ((f"/fresh{number}/x", KEY), ("/plain/x", dropped)):
                    threads.append(threading.Thread(target=probe, args=(entry, path, key, f"p{number}.{count}", acked, findings)))
                    threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    late = 0
    for sent, name, path, key, status in sorted(findings):
        is_late = status == 404 if path.startswith("/fresh") else status == 200
        late += is_late
        world.record(f"{name}, {sent:.3f} s after the ack: a request with the {'new route' if path.startswith('/fresh') else 'removed key'} is answered {status}"
                     + (", as only the older version allows" if is_late else ""))
    world.record(f"{late} of {len(findings)} requests sent later than configConvergeMs after the ack, to instances in touch, were handled as only the older version allows")
    return late


def script(world):
    state = desired_state()
    state["tenants"] = [{"name": TENANT, "apiKeys": [KEY, *(f"key-{number}-0123456789" for number in range(ROUNDS))]}]
    world.start(entries=4, state=copy.deepcopy(state))
    for number in range(ROUNDS if TROUBLE else 2):
        if run_round(world, state, number) > 0:
            return False
        time.sleep(CALM_S)
    return True


main(script, lambda: ProxiedWorld(FOLDER))
