"""The data path with real daemons: requests to services that reset or refuse, and keys in unexpected places of a request."""

import http.client
import json
import unittest
import urllib.parse

from kit import call
from serving_case import RESPONSE_TIMEOUT_S, ServingCase


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
