"""Entry instances on a stand-in of the users' platform: a deployment that no site
describes (two failure domains, one model, a streaming route, a route whose requests
may run once at most), with and without client accounts, and the faults of the store."""

import base64
import json
import time
import unittest

from kit import BIN, ENDED_ON_ORDER, KitTest, Program, Stream, call, free_ports, get, toml_text, wait_until
from platform_standin import Platform

HOST = {"Host": "shop.example"}
KEY = {"Credential": "key-one"}


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix, "routeType": kind, "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 1, "service": service,
            "maxAttempts": 3, "authExempt": False, **more}


def config(version, keys=("key-one",), **more):
    out = {"version": version,
           "routes": [route("plain", "/plain/", "safe", "shop"), route("once", "/once/", "unsafe", "shop"), route("talk", "/talk/", "streaming", "pool", resumable=True),
                      route("judge", "/judge/", "safe", "shop", authExempt=True),
                      route("steps", "/steps/", "rollout", "pool", resultDeadlineMs=7500, itemTtlS=40)],
           "services": [{"name": "pool", "engine": {"slots": 8, "stride": 1, "models": [{"name": "m"}]}}, {"name": "shop"}],
           "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    if keys is not None:
        out["tenants"] = [{"name": "acme", "apiKeys": list(keys), "priority": 1}]
    return {**out, **more}


class Entry(Program):
    def __init__(self, kit, name, zone, platform, ports, seeds):
        self.callers, self.readiness, self.instances, self.metrics = (f"http://127.0.0.1:{ports + i}" for i in range(4))
        bare = [f"127.0.0.1:{ports + i}" for i in range(4)]
        sections = {"instance": {"name": name, "failure_domain": zone, "region": "land"},
                    "listen": {"callers": bare[0], "readiness": bare[1], "instances": bare[2], "metrics": bare[3], "seeds": seeds},
                    "store": {"address": platform.store.address},
                    "duties": {"address": platform.duties.address, "usage_window": "2s", "usage_late": "4s"},
                    "bounds": {"drain": "2s", "stop": "8s", "results_kept": "120s"}}
        path = kit.folder / f"{name}.toml"
        path.write_text(toml_text(sections))
        super().__init__(kit, name, [BIN / "lovageraild", "entry", "--config", path])
        self.allowed_exits = ENDED_ON_ORDER

    def ready(self):
        return get(self.readiness + "/ready").status == 200

    def ask(self, path, request_id, headers=KEY, body=b"hello", method="POST"):
        return call(method, self.callers + path, body, {**HOST, **headers, "Attempt-Id": request_id, "Deadline-Ms": "3000"})


def submission(groups, size=2, least=1, step=1):
    items = []
    for group in range(groups):
        for index in range(size):
            name = f"s{step}g{group}i{index}"
            items.append({"id": name, "path": f"/steps/{step}/{name}", "headers": {"Model": "m", "Token-Count": "100,50", "Prompt-Prefix": f"aa{group}:100"},
                          "body": base64.b64encode(name.encode()).decode(), "tokens": 150, "group": f"g{group}",
                          "scoringUrl": {"id": "j" + name, "host": "shop.example", "path": "/judge/x", "body": base64.b64encode(b"b").decode()}})
    return {"step": step, "model": "m", "minVersion": least, "desiredCount": groups, "items": items}


class EntryTest(KitTest):
    def start(self, count=2, keys=("key-one",)):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.engines = [self.platform.engine("pool", zone, models=["m"]) for zone in ("north", "south", "north")]
        self.shops = [self.platform.service("shop", zone) for zone in ("north", "south")]
        self.platform.put_config(config(1, keys))
        ports = [free_ports(4) for _ in range(count)]
        seeds = [f"127.0.0.1:{port + 2}" for port in ports]
        self.ports, self.seeds = ports, seeds
        self.entries = [self.entry(i) for i in range(count)]
        for entry in self.entries:
            wait_until(entry.ready, f"{entry.name} is ready")
        wait_until(lambda: len(self.platform.store.with_prefix("/lovagerail/duties/node/")) == count, "all have joined")
        return self.entries

    def entry(self, index):
        return Entry(self.kit, f"entry-{index}", ("north", "south")[index % 2], self.platform, self.ports[index], self.seeds)

    def submit(self, entry, name, body):
        return entry.ask("/steps/" + name, name, body=json.dumps(body).encode())

    def results(self, entry, name, after=0, wait_ms=500):
        answer = call("GET", f"{entry.callers}/lots/{name}?after={after}", headers={**HOST, **KEY, "Wait-Ms": str(wait_ms)})
        self.assertEqual(answer.status, 200, answer)
        return answer.json

    def whole(self, entry, name, seconds=10):
        return wait_until(lambda: (lambda r: r["results"] if len(r["results"]) == r["total"] else None)(self.results(entry, name)), f"{name} whole", seconds)

    def test_plain_requests_keys_and_limits(self):
        first, second = self.start()
        answer = first.ask("/plain/x?a=%2f", "r1")
        self.assertEqual((answer.status, answer.body, answer.headers["Server-Stamp"]), (200, b"hello", "stamp-r1"))
        path, headers = self.platform.runs("shop")[-1]
        self.assertEqual((path, headers["Tenant"], headers["Attempt-Id"]), ("/plain/x", "acme", "r1"))
        self.assertNotIn("Credential", headers)
        self.assertEqual(second.ask("/plain/x", "r2", headers={"Credential": "other"}).status, 401)
        self.assertEqual(second.ask("/nowhere/x", "r3").status, 404)
        self.assertEqual(second.ask("/plain/x", "r4", body=b"x" * 100001).status, 413)
        # A key that is taken away stops working on both within the configuration's bound.
        self.platform.put_config(config(5, ("key-two",)))
        for entry in (first, second):
            wait_until(lambda: entry.ask("/plain/x", "r5").status == 401, "the key is withdrawn", 2)
            self.assertEqual(entry.ask("/plain/x", "r6", headers={"Credential": "key-two"}).status, 200)

    def test_a_deployment_without_accounts(self):
        first, _ = self.start(keys=None)
        self.assertEqual(first.ask("/plain/x", "r1", headers={}).status, 200)
        self.assertNotIn("Tenant", self.platform.runs("shop")[-1][1])

    def test_runs_at_most_once_and_refusals_are_true(self):
        first, _ = self.start()
        for shop in self.shops:
            shop.losing = 1
        answer = first.ask("/once/x", "u1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.platform.runs("shop")), 1)
        self.assertEqual(first.ask("/plain/x", "s1").status, 200)  # this one may run again
        for shop in self.shops:
            shop.refusing, shop.losing = True, 0
        before = len(self.platform.runs("shop"))
        answer = first.ask("/once/x", "u2")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(len(self.platform.runs("shop")), before)

    def test_a_stream_goes_on_at_another_replica(self):
        first, _ = self.start()
        for engine in self.engines:
            engine.events, engine.losing = 12, 0
        self.engines[0].losing = self.engines[1].losing = self.engines[2].losing = 1
        headers = {**HOST, **KEY, "Attempt-Id": "t1", "Deadline-Ms": "3000", "Model": "m"}
        with Stream("POST", first.callers + "/talk/x", b"p", headers) as stream:
            lines = [line for line in stream.lines() if line.startswith("id: ")]
        self.assertEqual(lines, [f"id: {number}" for number in range(1, 13)])

    def test_a_step_is_listed_alike_everywhere(self):
        first, second = self.start()
        self.engines[0].losing = 2
        self.assertEqual(self.submit(first, "b1", submission(4)).status, 202)
        self.assertEqual(self.submit(second, "b1", submission(4)).status, 202)  # again, elsewhere: the same batch
        body = call("GET", second.callers + "/items/b1?id=s1g3i1", headers={**HOST, **KEY})
        self.assertIn((body.status, body.body), ((200, b"s1g3i1"), (404, b"")))  # unless it is listed already
        here, there = self.whole(first, "b1"), self.whole(second, "b1")
        self.assertEqual(here, there)
        self.assertEqual(len({result["id"] for result in here}), 8)
        for result in here:
            self.assertEqual((result["state"], result["text"], result["versions"]), ("completed", "e1\ne2\ne3\ne4\ne5", [1]))
            self.assertEqual(result["score"], "stamp-j" + result["id"])
        self.assertEqual(call("GET", first.callers + "/lots/b1?after=0", headers={**HOST, "Credential": "none"}).status, 401)
        self.assertEqual(call("GET", first.callers + "/lots/unknown?after=0", headers={**HOST, **KEY}).status, 404)
        self.assertEqual(call("DELETE", second.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(call("DELETE", first.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(self.whole(second, "b1"), here)

    def test_a_killed_owners_step_goes_on_elsewhere(self):
        first, second = self.start()
        for engine in self.engines:
            engine.events, engine.event_s = 60, 0.03
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(0.5)
        first.allowed_exits = None
        first.kill()
        results = self.whole(second, "b1", 15)
        self.assertEqual(len({result["id"] for result in results}), 4)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})

    def test_a_planned_stop_hands_the_step_over(self):
        first, second = self.start()
        for engine in self.engines:
            engine.events, engine.event_s = 60, 0.03
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        time.sleep(0.8)
        first.terminate()
        wait_until(lambda: not first.ready(), "out of rotation", 1)
        results = self.whole(second, "b1", 10)
        self.assertEqual({result["text"].count("\n") for result in results}, {59})
        self.assertEqual(first.wait(9), 0)
        # It went on behind what was made, and did not start over.
        self.assertTrue(any(headers.get("Last-Event-Id") for _, headers in self.platform.runs("pool")))

    def test_a_submission_waits_for_the_store(self):
        first, _ = self.start()
        self.platform.store.refuse.add("all")
        began = time.monotonic()
        import threading
        threading.Timer(1.5, self.platform.store.refuse.clear).start()
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        self.assertGreater(time.monotonic() - began, 1.4)
        # Its items ran meanwhile, so little is left to wait for.
        self.assertEqual(len(self.whole(first, "b1", 2)), 4)

    def test_lost_answers_of_the_store_list_nothing_twice(self):
        first, second = self.start()
        self.platform.store.lose_answers = 2
        self.assertEqual(self.submit(first, "b1", submission(3)).status, 202)
        time.sleep(0.05)
        self.platform.store.lose_answers = 2
        results = self.whole(second, "b1")
        self.assertEqual(len({result["id"] for result in results}), 6)

    def test_named_versions_reach_the_replicas(self):
        first, _ = self.start()
        for version in (2, 3):
            self.platform.name_version("m", version)
            self.assertEqual(self.submit(first, f"b{version}", submission(2, least=version - 1, step=version)).status, 202)
            for result in self.whole(first, f"b{version}"):
                self.assertTrue(set(result["versions"]) <= set(range(version - 1, version + 1)), result)
        wait_until(lambda: all(engine.versions["m"] >= 2 for engine in self.engines), "no replica is left behind what work accepts", 10)

    def test_usage_is_reported_once_a_window(self):
        first, second = self.start()
        for number in range(6):
            (first, second)[number % 2].ask("/plain/x", f"r{number}")
        def counted():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: counted() == 6, "all six are reported", 10)
        time.sleep(2.5)
        self.assertEqual((counted(), self.platform.duties.differing), (6, []))

    def test_metrics_and_logs_tell_of_a_request(self):
        first, _ = self.start()
        first.ask("/plain/x", "told-1")
        page = get(first.metrics + "/metrics").body.decode()
        self.assertIn('lovagerail_requests_total{outcome="delivered"}', page)
        wait_until(lambda: "request=told-1" in first.output(), "the request's line", 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
