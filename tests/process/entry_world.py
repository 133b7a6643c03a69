"""Shared base of the test_entry_*.py tests: entry instances (`lovageraild entry`) on the platform
of platform_standin.py. The deployment has two failure domains, one model, a streaming route and
a route whose requests may run at most once."""

import base64
import json
import time

from kit import BIN, EXPECTED_EXIT_CODES, KitTest, Program, call, free_ports, get, toml_text, wait_until
from platform_standin import Platform

HOST = {"Host": "shop.example"}
KEY = {"Credential": "key-one"}


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix, "routeType": kind, "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 1, "service": service,
            "maxAttempts": 3, "authExempt": False, **more}


def config(version, keys=("key-one",), autoscale=None, **more):
    pool = {"name": "pool", "engine": {"slots": 8, "stride": 1, "models": [{"name": "m"}]}, **({"autoscale": autoscale} if autoscale else {})}
    document = {"version": version,
                "routes": [route("plain", "/plain/", "safe", "shop"), route("once", "/once/", "unsafe", "shop"), route("talk", "/talk/", "streaming", "pool", resumable=True),
                           route("judge", "/judge/", "safe", "shop", authExempt=True),
                           route("steps", "/steps/", "rollout", "pool", resultDeadlineMs=7500, itemTtlS=40)],
                "services": [pool, {"name": "shop"}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    if keys is not None:
        document["tenants"] = [{"name": "acme", "apiKeys": list(keys), "priority": 1}]
    return {**document, **more}


class Entry(Program):
    def __init__(self, kit, name, zone, platform, ports, seeds, duty_settings, store_address, source_address, bounds, regions, machine):
        self.callers, self.readiness, self.instances, self.metrics = (f"http://127.0.0.1:{ports + i}" for i in range(4))
        addresses = [f"127.0.0.1:{ports + i}" for i in range(4)]
        self.source_address = source_address
        sections = {"instance": {"name": name, "failure_domain": zone, "region": "land", "address": source_address},
                    "listen": {"callers": addresses[0], "readiness": addresses[1], "instances": addresses[2], "metrics": addresses[3], "seeds": seeds},
                    "store": {"address": store_address},
                    "duties": {"address": platform.duties.address, "usage_window": "2s", "usage_late": "10s", **duty_settings},
                    "bounds": {"drain": "2s", "stop": "8s", "results_kept": "120s", **bounds},
                    "placement": {"regions": regions}, "machine": machine}
        path = kit.folder / f"{name}.toml"
        path.write_text(toml_text(sections))
        super().__init__(kit, name, [BIN / "lovageraild", "entry", "--config", path])
        self.allowed_exit_codes = EXPECTED_EXIT_CODES

    def is_ready(self):
        return get(self.readiness + "/ready").status == 200

    def send_request(self, path, request_id, headers=KEY, body=b"hello", method="POST"):
        return call(method, self.callers + path, body, {**HOST, **headers, "Attempt-Id": request_id, "Deadline-Ms": "3000"})


def submission(groups, size=2, min_version=1, step=1):
    items = []
    for group in range(groups):
        for index in range(size):
            name = f"s{step}g{group}i{index}"
            items.append({"id": name, "path": f"/steps/{step}/{name}", "headers": {"Model": "m", "Token-Count": "100,50", "Prompt-Prefix": f"aa{group}:100"},
                          "body": base64.b64encode(name.encode()).decode(), "tokens": 150, "group": f"g{group}",
                          "scoringUrl": {"id": "j" + name, "host": "shop.example", "path": "/judge/x", "body": base64.b64encode(b"b").decode()}})
    return {"step": step, "model": "m", "minVersion": min_version, "desiredCount": groups, "items": items}


class EntryCase(KitTest):
    bounds = {}  # further settings of the section
    regions = {}  # by failure domain
    machine = {}  # settings of the section: memory and descriptors of each instance
    limits = {}  # of callers, in place of those of config()
    store_addresses = {}  # by index, for instances that reach the store at another address

    def start_entries(self, count=2, keys=("key-one",), **duties):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.engines = [self.platform.engine("pool", zone, models=["m"]) for zone in ("north", "south", "north")]
        self.shops = [self.platform.service("shop", zone) for zone in ("north", "south")]
        document = config(1, keys)
        document["limits"].update(self.limits)
        self.platform.put_config(document)
        self.platform_started()
        ports = [free_ports(4) for _ in range(count)]
        seeds = [f"127.0.0.1:{port + 2}" for port in ports]
        self.ports, self.seeds, self.duty_settings = ports, seeds, duties
        self.entries = [self.entry(i) for i in range(count)]
        for entry in self.entries:
            wait_until(entry.is_ready, f"{entry.name} is ready")
        wait_until(lambda: len(self.platform.store.keys_with_prefix("/lovagerail/duties/node/entry-")) == count, "all entries hold their node key")
        return self.entries

    def platform_started(self):
        """Called before the first instance starts."""

    def entry(self, index):
        return Entry(self.kit, f"entry-{index}", ("north", "south")[index % 2], self.platform, self.ports[index], self.seeds, self.duty_settings,
                     self.store_addresses.get(index, self.platform.store.address), f"127.0.0.{11 + index}", self.bounds, self.regions, self.machine)

    def use_only(self, replica):
        """All other replicas of its service are gone."""
        self.platform.replicas.append(replica)
        for other in self.shops if replica.service == "shop" else self.engines:
            self.platform.store.remove("servers/" + other.name)
        for entry in self.entries:
            wait_until(lambda entry=entry: "target=" + replica.name in entry.output(), f"{entry.name} knows {replica.name}")
        time.sleep(1)

    def submit(self, entry, name, body):
        return entry.send_request("/steps/" + name, name, body=json.dumps(body).encode())

    def submit_to_owner(self, entries, name, body):
        """Submits a batch and returns its owner and the other entry."""
        self.assertEqual(self.submit(entries[0], name, body).status, 202)
        return sorted(entries, key=lambda entry: "step=owned batch=" + name not in entry.output())

    def head(self, name):
        """The head of a batch, as the store has it."""
        return json.loads(self.platform.store.value("batch/head/" + name))

    def end(self, entry, name):
        return call("DELETE", f"{entry.callers}/lots/{name}", headers={**HOST, **KEY}).status

    def results(self, entry, name, after=0, wait_ms=500):
        response = call("GET", f"{entry.callers}/lots/{name}?after={after}", headers={**HOST, **KEY, "Wait-Ms": str(wait_ms)})
        self.assertEqual(response.status, 200, response)
        return response.json

    def wait_for_results(self, entry, name, seconds=10):
        """All results of a batch. An instance that can't be sure of them answers 503, as while the store is slow or the owner changes."""
        def all_results():
            response = call("GET", f"{entry.callers}/lots/{name}?after=0", headers={**HOST, **KEY, "Wait-Ms": "500"})
            self.assertIn(response.status, (200, 503), response)
            return response.json["results"] if response.status == 200 and len(response.json["results"]) == response.json["total"] else None

        return wait_until(all_results, f"all results of {name}", seconds)
