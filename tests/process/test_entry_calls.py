"""Requests, streams, accounts, versions and usage on entry instances."""

import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import Stream, get, wait_until


class EntryCalls(EntryCase):
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
            engine.events = 12
        self.engines[0].losing = self.engines[1].losing = 1  # the route allows three attempts
        headers = {**HOST, **KEY, "Attempt-Id": "t1", "Deadline-Ms": "3000", "Model": "m"}
        with Stream("POST", first.callers + "/talk/x", b"p", headers) as stream:
            lines = [line for line in stream.lines() if line.startswith("id: ")]
        self.assertEqual(lines, [f"id: {number}" for number in range(1, 13)])

    def test_named_versions_reach_the_replicas(self):
        first, _ = self.start()
        for version in (2, 3):
            self.platform.name_version("m", version)
            self.assertEqual(self.submit(first, f"b{version}", submission(2, least=version - 1, step=version)).status, 202)
            for result in self.whole(first, f"b{version}"):
                self.assertTrue(set(result["versions"]) <= set(range(version - 1, version + 1)), result)
        wait_until(lambda: all(engine.versions["m"] >= 2 for engine in self.engines), "no replica is left behind what work accepts", 10)

    def test_a_request_that_brings_replicas_down_is_kept_away(self):
        first, second = self.start()
        self.assertEqual(first.ask("/once/poison", "p1").status, 502)
        time.sleep(0.5)
        self.assertEqual(second.ask("/once/poison", "p2").status, 502)
        time.sleep(0.5)
        for number, entry in enumerate((first, second)):
            answer = entry.ask("/once/poison", f"p{number + 3}")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
            self.assertEqual(entry.ask("/once/fine", f"f{number}").status, 200)
        self.assertEqual(len([path for path, _ in self.platform.runs("shop") if "poison" in path]), 2)

    def test_usage_is_reported_once_a_window(self):
        first, second = self.start()
        for number in range(6):
            (first, second)[number % 2].ask("/plain/x", f"r{number}")
        def counted():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: counted() == 6, "all six are reported", 10)
        time.sleep(2.5)
        self.assertEqual((counted(), self.platform.duties.differing), (6, []))

    def test_a_target_that_left_the_list_gets_nothing_new(self):
        # The second entry reads from the first, and prefers the replica of its own domain.
        entries = self.start()
        time.sleep(7)  # quiet for longer than what would count as an outage, and reading from the parent again
        self.platform.store.remove("servers/" + self.shops[1].name)
        time.sleep(2)
        before = len(self.shops[1].runs)
        for number in range(8):
            for entry in entries:
                self.assertEqual(entry.ask("/plain/x", f"r{number}").status, 200)
        self.assertEqual(len(self.shops[1].runs), before)

    def test_usage_is_whole_after_an_outage_of_the_store(self):
        first, second = self.start()
        self.platform.store.refuse.add("all")
        for number in range(6):
            (first, second)[number % 2].ask("/plain/x", f"r{number}")
        time.sleep(4)  # longer than a lease
        self.platform.store.refuse.clear()

        def counted():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: counted() == 6, "all six are reported", 12)
        self.assertEqual(self.platform.duties.differing, [])

    def test_usage_of_an_instance_that_stops_is_kept(self):
        self.usage_is_kept(lambda entry: entry.terminate())

    def test_usage_of_an_instance_that_is_killed_is_kept(self):
        self.usage_is_kept(lambda entry: (time.sleep(0.5), entry.kill()))

    def usage_is_kept(self, end):
        first, second, _ = self.start(3)
        time.sleep(2 - time.time() % 2 + 0.1)  # a window has just begun
        for number in range(6):
            (first, second)[number % 2].ask("/plain/x", f"r{number}")
        end(first)

        def counted():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: counted() == 6, "all six are reported", 10)
        self.assertEqual(self.platform.duties.differing, [])

    def test_metrics_and_logs_tell_of_a_request(self):
        first, _ = self.start()
        first.ask("/plain/x", "told-1")
        page = get(first.metrics + "/metrics").body.decode()
        self.assertIn('lovagerail_requests_total{outcome="delivered"} 1', page)
        for series in ('requests_total{outcome="quarantined"}', 'attempts_total{kind="resumed"}', 'items_total{what="reused"}', 'items_total{what="stored"}', 'store_calls_total{cause="lease"}'):
            self.assertIn("lovagerail_" + series, page)
        wait_until(lambda: "request=told-1" in first.output(), "the request's line", 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
