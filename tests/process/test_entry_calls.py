"""Plain requests, streams, accounts and weight versions on entry instances."""

import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import Stream, get, wait_until


class EntryCalls(EntryCase):
    def test_plain_requests_keys_and_limits(self):
        first, second = self.start_entries()
        response = first.send_request("/plain/x?a=%2f", "r1")
        self.assertEqual((response.status, response.body, response.headers["Server-Stamp"]), (200, b"hello", "stamp-r1"))
        path, headers = self.platform.executed_requests("shop")[-1]
        self.assertEqual((path, headers["Tenant"], headers["Attempt-Id"]), ("/plain/x", "acme", "r1"))
        self.assertNotIn("Credential", headers)
        self.assertEqual(second.send_request("/plain/x", "r2", headers={"Credential": "other"}).status, 401)
        self.assertEqual(second.send_request("/nowhere/x", "r3").status, 404)
        self.assertEqual(second.send_request("/plain/x", "r4", body=b"x" * 100001).status, 413)
        # A withdrawn key stops working on both entries within the configuration's bound.
        self.platform.put_config(config(5, ("key-two",)))
        for entry in (first, second):
            wait_until(lambda: entry.send_request("/plain/x", "r5").status == 401, "the key is withdrawn", 2)
            self.assertEqual(entry.send_request("/plain/x", "r6", headers={"Credential": "key-two"}).status, 200)

    def test_a_deployment_without_accounts(self):
        first, _ = self.start_entries(keys=None)
        self.assertEqual(first.send_request("/plain/x", "r1", headers={}).status, 200)
        self.assertNotIn("Tenant", self.platform.executed_requests("shop")[-1][1])

    def test_unsafe_requests_run_at_most_once_and_refused_ones_never(self):
        first, _ = self.start_entries()
        for shop in self.shops:
            shop.requests_to_break = 1
        response = first.send_request("/once/x", "u1")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.platform.executed_requests("shop")), 1)
        self.assertEqual(first.send_request("/plain/x", "s1").status, 200)  # the safe route may retry
        for shop in self.shops:
            shop.refuse_requests, shop.requests_to_break = True, 0
        before = len(self.platform.executed_requests("shop"))
        response = first.send_request("/once/x", "u2")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual(len(self.platform.executed_requests("shop")), before)

    def test_a_stream_resumes_at_another_replica(self):
        first, _ = self.start_entries()
        for engine in self.engines:
            engine.events = 12
        self.engines[0].requests_to_break = self.engines[1].requests_to_break = 1  # the route allows three attempts
        headers = {**HOST, **KEY, "Attempt-Id": "t1", "Deadline-Ms": "3000", "Model": "m"}
        with Stream("POST", first.callers + "/talk/x", b"p", headers) as stream:
            lines = [line for line in stream.lines() if line.startswith("id: ")]
        self.assertEqual(lines, [f"id: {number}" for number in range(1, 13)])

    def test_published_versions_reach_the_replicas(self):
        first, _ = self.start_entries()
        for version in (2, 3):
            self.platform.publish_version("m", version)
            self.assertEqual(self.submit(first, f"b{version}", submission(2, min_version=version - 1, step=version)).status, 202)
            for result in self.wait_for_results(first, f"b{version}"):
                self.assertTrue(set(result["versions"]) <= set(range(version - 1, version + 1)), result)
        wait_until(lambda: all(engine.versions["m"] >= 2 for engine in self.engines), "all replicas serve a version that the work accepts", 10)

    def test_a_request_that_crashes_replicas_is_quarantined(self):
        first, second = self.start_entries()
        self.assertEqual(first.send_request("/once/poison", "p1").status, 502)
        time.sleep(0.5)
        self.assertEqual(second.send_request("/once/poison", "p2").status, 502)
        time.sleep(0.5)
        for number, entry in enumerate((first, second)):
            response = entry.send_request("/once/poison", f"p{number + 3}")
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["Retry-After"]), 0)
            self.assertEqual(entry.send_request("/once/fine", f"f{number}").status, 200)
        self.assertEqual(len([path for path, _ in self.platform.executed_requests("shop") if "poison" in path]), 2)

    def test_a_target_removed_from_the_store_gets_no_new_requests(self):
        # The second entry reads the store's data through the first, its parent, and prefers the replica in its own failure domain.
        entries = self.start_entries()
        time.sleep(7)  # idle for longer than what would count as an outage, and until the second reads from its parent again
        self.platform.store.remove("servers/" + self.shops[1].name)
        time.sleep(2)
        before = len(self.shops[1].executed_requests)
        for number in range(8):
            for entry in entries:
                self.assertEqual(entry.send_request("/plain/x", f"r{number}").status, 200)
        self.assertEqual(len(self.shops[1].executed_requests), before)

    def test_metrics_and_logs_of_a_request(self):
        first, _ = self.start_entries()
        first.send_request("/plain/x", "told-1")
        page = get(first.metrics + "/metrics").body.decode()
        self.assertIn('lovagerail_requests_total{outcome="delivered"} 1', page)
        for series in ('requests_total{outcome="quarantined"}', 'attempts_total{kind="resumed"}', 'items_total{what="reused"}', 'items_total{what="stored"}', 'store_calls_total{cause="lease"}'):
            self.assertIn("lovagerail_" + series, page)
        wait_until(lambda: "request=told-1" in first.output(), "the request's log line", 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
