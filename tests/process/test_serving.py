"""The data path under failures, with real daemons: target crashes and hangs, connection resets,
crossed responses, leaving targets, and keys in unexpected places of a request."""

import concurrent.futures
import http.client
import json
import time
import unittest
import urllib.parse

from fleet import Fleet
from kit import KitTest, call, stream_completion, wait_until

RESPONSE_TIMEOUT_S = 15
LEAVING_BOUND_S = 3.0  # after which no daemon sends requests to a leaving target


class ServingCase(KitTest):
    def start(self, **options):
        self.fleet = Fleet(self.kit, **options).set_up()
        self.entries = self.fleet.callers()
        return self.fleet

    def stream(self, prompt, entry=0, account="mawr", tokens=40):
        return stream_completion(self.entries[entry % len(self.entries)], prompt, headers=self.fleet.auth(account), max_tokens=tokens,
                        timeout=RESPONSE_TIMEOUT_S)

    def complete_prompt(self, prompt, entry=0, account="mawr", tokens=8):
        body = {"model": "model", "prompt": prompt, "max_tokens": tokens}
        return call("POST", self.entries[entry % len(self.entries)] + "/v1/completions", body, headers=self.fleet.auth(account))

    def streams(self, count, while_running):
        """Starts streams on all entries, calls while_running and returns the results of the streams."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            futures = [pool.submit(self.stream, f"stream {i} of the test, told at length", i) for i in range(count)]
            while_running()
            return [future.result() for future in futures]

    def check_complete(self, streams):
        for text, chunks, done in streams:
            self.assertTrue(done, text)
            self.assertEqual(chunks[-1]["usage"]["completion_tokens"], sum(chunk.get("token_count", 0) for chunk in chunks))

    def running_attempts(self, engine):
        return [attempt for attempt in engine.log()["attempts"] if attempt["outcome"] == "running"]

    def busiest_engine(self):
        wait_until(lambda: any(len(self.running_attempts(engine)) > 1 for engine in self.fleet.engines), "more than one stream on an engine")
        return max(self.fleet.engines, key=lambda engine: len(self.running_attempts(engine)))


class Targets(ServingCase):
    def test_streams_of_a_crashed_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        crashed = []

        def crash_busiest_engine():
            engine = self.busiest_engine()
            engine.crash()
            crashed.append(engine)
        self.check_complete(self.streams(16, crash_busiest_engine))
        self.assertIn("crashed", {attempt["outcome"] for attempt in crashed[0].log()["attempts"]})
        # None of the interrupted prompts stays quarantined.
        for i in range(16):
            response = self.complete_prompt(f"stream {i} of the test, told at length", i, tokens=4)
            self.assertEqual(response.status, 200, response)

    def test_streams_of_a_hanging_engine_finish_elsewhere(self):
        self.start(daemons=2, engine_flags={"tokens_per_second": 40})
        self.check_complete(self.streams(8, lambda: self.busiest_engine().faults(hang=True)))

    def test_a_leaving_target_gets_no_new_requests(self):
        self.start(daemons=2)
        leaving_target = self.fleet.engines[0]
        self.fleet.platform.faults(leaving={"id": leaving_target.name, "state": "leaving", "after_ms": 60000})
        time.sleep(LEAVING_BOUND_S)
        attempts_before = len(leaving_target.log()["attempts"])
        for i in range(30):
            self.assertEqual(self.complete_prompt(f"after leaving {i}", i).status, 200)
        self.assertEqual(len(leaving_target.log()["attempts"]), attempts_before)

    def test_crossed_responses_reach_no_caller(self):
        self.start(daemons=1)
        for target in self.fleet.engines + self.fleet.services:
            target.faults(cross_answers=2)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            stream_futures = [pool.submit(self.stream, f"own answer {i}", i) for i in range(12)]
            call_futures = [pool.submit(call, "GET", self.entries[0] + f"/stock/own/{i}", headers=self.fleet.auth("mawr")) for i in range(12)]
            self.check_complete([future.result() for future in stream_futures])
            for i, future in enumerate(call_futures):
                self.assertEqual(future.result().json["uri"], f"/stock/own/{i}")


class Services(ServingCase):
    def runs_of(self, uri_part):
        return [run for service in self.fleet.services for run in service.log()["calls"] if run["ran"] and uri_part in run["uri"]]

    def test_a_reset_after_the_write_has_unknown_outcome_and_runs_once(self):
        self.start(daemons=1)
        for service in self.fleet.services:
            service.faults(poison="cut-me")
        response = call("POST", self.entries[0] + "/stock/orders/cut", {"what": "cut-me"}, headers=self.fleet.auth("mawr"))
        self.assertEqual(response.status, 502)
        self.assertEqual(response.json["error"]["outcome"], "unknown")
        self.assertEqual(len(self.runs_of("/stock/orders/cut")), 1)

    def test_a_not_run_refusal_is_retried_elsewhere(self):
        self.start(daemons=1)
        self.fleet.services[0].faults(refuse=100)
        for i in range(12):
            response = call("POST", self.entries[0] + f"/stock/orders/refused-{i}-", {"i": i}, headers=self.fleet.auth("mawr"))
            self.assertEqual(response.status, 200, response)
            self.assertEqual(len(self.runs_of(f"refused-{i}-")), 1)


class Keys(ServingCase):
    def send_raw(self, method, path, headers, body=None):
        parts = urllib.parse.urlsplit(self.entries[0])
        connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=RESPONSE_TIMEOUT_S)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def test_no_form_of_a_key_reaches_a_target(self):
        self.start(daemons=1)
        key = self.fleet.keys["mawr"]
        bearer = {"AuThOrIzAtIoN": "bEaReR " + key}
        percent_encoded = "".join(f"%{ord(c):02x}" for c in key)
        forms = [
            ("GET", "/stock/form-header", bearer, None),
            ("GET", "/stock/form-query?key=" + key, bearer, None),
            ("GET", "/stock/form-coded?key=" + percent_encoded, bearer, None),
            ("GET", "/stock/" + key, bearer, None),
            ("GET", "/stock/form-cookie", {**bearer, "Cookie": "key=" + key}, None),
            ("GET", "/stock/form-proxy", {**bearer, "Proxy-Authorization": "Bearer " + key}, None),
            ("GET", "/stock/form-x", {**bearer, "X-Api-Key": key}, None),
            ("POST", "/stock/form-body", bearer, json.dumps({"key": key})),
            ("POST", "/v1/completions", bearer, json.dumps({"model": "model", "prompt": "p " + key, "max_tokens": 2})),
            ("POST", "/v1/completions", {**bearer, "Cookie": key}, json.dumps({"model": "model", "prompt": "p", "max_tokens": 2})),
            ("POST", "/v1/completions", bearer, json.dumps({"model": "model", "prompt": "p", "max_tokens": 2})),
        ]
        statuses = [self.send_raw(*form)[0] for form in forms]
        self.assertEqual((statuses[0], statuses[-1]), (200, 200), statuses)
        key_secret = key.split("_")[-1]
        for target in self.fleet.engines + self.fleet.services:
            log_text = json.dumps(target.log())
            self.assertNotIn(key, log_text)
            self.assertNotIn(key_secret, log_text)
            self.assertNotIn("authorization", log_text.lower())


if __name__ == "__main__":
    unittest.main()
