"""The data path's promises in real processes: what a crash, a hang, a reset, a crossed
answer and a misplaced key come to."""

import concurrent.futures
import http.client
import json
import time
import unittest
import urllib.parse

from fleet import Fleet
from kit import KitTest, call, complete, wait_until

ANSWER_SECONDS = 15
LEAVING_SECONDS = 3.0  # by which no daemon sends to a target that leaves


class Serving(KitTest):
    def start(self, **options):
        self.fleet = Fleet(self.kit, **options).ready()
        self.entries = self.fleet.callers()
        return self.fleet

    def stream(self, prompt, entry=0, account="mawr", tokens=40):
        return complete(self.entries[entry % len(self.entries)], prompt, headers=self.fleet.auth(account), max_tokens=tokens,
                        timeout=ANSWER_SECONDS)

    def ask(self, prompt, entry=0, account="mawr", tokens=8):
        body = {"model": "model", "prompt": prompt, "max_tokens": tokens}
        return call("POST", self.entries[entry % len(self.entries)] + "/v1/completions", body, headers=self.fleet.auth(account))

    def streams(self, count, while_running):
        """Starts streams over all entries, calls while_running and returns what the streams came to."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            running = [pool.submit(self.stream, f"stream {i} of the test, told at length", i) for i in range(count)]
            while_running()
            return [one.result() for one in running]

    def check_whole(self, streams):
        for text, chunks, done in streams:
            self.assertTrue(done, text)
            self.assertEqual(chunks[-1]["usage"]["completion_tokens"], sum(chunk.get("token_count", 0) for chunk in chunks))

    def running(self, engine):
        return [one for one in engine.log()["attempts"] if one["outcome"] == "running"]

    def busiest(self):
        wait_until(lambda: any(len(self.running(engine)) > 1 for engine in self.fleet.engines), "streams at an engine")
        return max(self.fleet.engines, key=lambda engine: len(self.running(engine)))


class Targets(Serving):
    def test_streams_of_a_crashed_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        crashed = []

        def crash():
            engine = self.busiest()
            engine.crash()
            crashed.append(engine)
        self.check_whole(self.streams(16, crash))
        self.assertIn("crashed", {one["outcome"] for one in crashed[0].log()["attempts"]})
        # Nobody is blamed for good.
        for i in range(16):
            answer = self.ask(f"stream {i} of the test, told at length", i, tokens=4)
            self.assertEqual(answer.status, 200, answer)

    def test_streams_of_a_hanging_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        self.check_whole(self.streams(8, lambda: self.busiest().faults(hang=True)))

    def test_a_leaving_target_gets_nothing_new(self):
        self.start(daemons=2)
        gone = self.fleet.engines[0]
        self.fleet.platform.faults(leaving={"id": gone.name, "state": "leaving", "after_ms": 60000})
        time.sleep(LEAVING_SECONDS)
        before = len(gone.log()["attempts"])
        for i in range(30):
            self.assertEqual(self.ask(f"after leaving {i}", i).status, 200)
        self.assertEqual(len(gone.log()["attempts"]), before)

    def test_crossed_answers_reach_nobody(self):
        self.start(daemons=1)
        for target in self.fleet.engines + self.fleet.services:
            target.faults(cross_answers=2)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            mine = [pool.submit(self.stream, f"own answer {i}", i) for i in range(12)]
            calls = [pool.submit(call, "GET", self.entries[0] + f"/stock/own/{i}", headers=self.fleet.auth("mawr")) for i in range(12)]
            self.check_whole([one.result() for one in mine])
            for i, one in enumerate(calls):
                self.assertEqual(one.result().json["uri"], f"/stock/own/{i}")


class Services(Serving):
    def runs(self, word):
        return [one for service in self.fleet.services for one in service.log()["calls"] if one["ran"] and word in one["uri"]]

    def test_a_reset_after_the_write_is_told_unknown_and_run_once(self):
        self.start(daemons=1)
        for service in self.fleet.services:
            service.faults(poison="cut-me")
        answer = call("POST", self.entries[0] + "/stock/orders/cut", {"what": "cut-me"}, headers=self.fleet.auth("mawr"))
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.json["error"]["outcome"], "unknown")
        self.assertEqual(len(self.runs("/stock/orders/cut")), 1)

    def test_refused_truthfully_is_tried_elsewhere(self):
        self.start(daemons=1)
        self.fleet.services[0].faults(refuse=100)
        for i in range(12):
            answer = call("POST", self.entries[0] + f"/stock/orders/refused-{i}-", {"i": i}, headers=self.fleet.auth("mawr"))
            self.assertEqual(answer.status, 200, answer)
            self.assertEqual(len(self.runs(f"refused-{i}-")), 1)


class Keys(Serving):
    def raw(self, method, path, headers, body=None):
        parts = urllib.parse.urlsplit(self.entries[0])
        connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=ANSWER_SECONDS)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def test_no_form_of_a_key_reaches_a_target(self):
        self.start(daemons=1)
        key = self.fleet.keys["mawr"]
        bearer = {"AuThOrIzAtIoN": "bEaReR " + key}
        coded = "".join(f"%{ord(c):02x}" for c in key)
        forms = [
            ("GET", "/stock/form-header", bearer, None),
            ("GET", "/stock/form-query?key=" + key, bearer, None),
            ("GET", "/stock/form-coded?key=" + coded, bearer, None),
            ("GET", "/stock/" + key, bearer, None),
            ("GET", "/stock/form-cookie", {**bearer, "Cookie": "key=" + key}, None),
            ("GET", "/stock/form-proxy", {**bearer, "Proxy-Authorization": "Bearer " + key}, None),
            ("GET", "/stock/form-x", {**bearer, "X-Api-Key": key}, None),
            ("POST", "/stock/form-body", bearer, json.dumps({"key": key})),
            ("POST", "/v1/completions", bearer, json.dumps({"model": "model", "prompt": "p " + key, "max_tokens": 2})),
            ("POST", "/v1/completions", {**bearer, "Cookie": key}, json.dumps({"model": "model", "prompt": "p", "max_tokens": 2})),
            ("POST", "/v1/completions", bearer, json.dumps({"model": "model", "prompt": "p", "max_tokens": 2})),
        ]
        statuses = [self.raw(*form)[0] for form in forms]
        self.assertEqual((statuses[0], statuses[-1]), (200, 200), statuses)
        secret = key.split("_")[-1]
        for target in self.fleet.engines + self.fleet.services:
            seen = json.dumps(target.log())
            self.assertNotIn(key, seen)
            self.assertNotIn(secret, seen)
            self.assertNotIn("authorization", seen.lower())


if __name__ == "__main__":
    unittest.main()
