"""Rollout batches on entry instances: each item gets exactly one result at one position, also when
instances, replicas or the store fail."""

import json
import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config, submission
from kit import call, wait_until


class EntryBatches(EntryCase):
    def test_a_batch_is_not_accepted_where_its_route_is_not_known(self):
        # An instance that has just started, or lags behind, gets it from one with a newer configuration.
        first, _ = self.start_entries()
        headers = {"x-batch": "early", "x-host": HOST["Host"], "x-path": "/not-yet/early", "x-account": "acme"}
        response = call("POST", first.instances + "/submit", json.dumps(submission(2)).encode(), headers)
        self.assertEqual(response.status, 503)
        self.assertEqual(call("GET", first.callers + "/lots/early?after=0", headers={**HOST, **KEY}).status, 404)

    def test_all_entries_list_the_same_results(self):
        first, second = self.start_entries()
        self.engines[0].requests_to_break = 2
        self.assertEqual(self.submit(first, "b1", submission(4)).status, 202)
        self.assertEqual(self.submit(second, "b1", submission(4)).status, 202)  # submitted again at another entry: the same batch
        body = call("GET", second.callers + "/items/b1?id=s1g3i1", headers={**HOST, **KEY})
        self.assertIn((body.status, body.body), ((200, b"s1g3i1"), (404, b"")))  # the body is dropped once the result is listed
        first_results, second_results = self.wait_for_results(first, "b1"), self.wait_for_results(second, "b1")
        self.assertEqual(first_results, second_results)
        self.assertEqual(len({result["id"] for result in first_results}), 8)
        for result in first_results:
            self.assertEqual((result["state"], result["text"], result["versions"]), ("completed", "e1\ne2\ne3\ne4\ne5", [1]))
            self.assertEqual(result["score"], "stamp-j" + result["id"])
        self.assertEqual(call("GET", first.callers + "/lots/b1?after=0", headers={**HOST, "Credential": "none"}).status, 401)
        self.assertEqual(call("GET", first.callers + "/lots/unknown?after=0", headers={**HOST, **KEY}).status, 404)
        self.assertEqual(call("DELETE", second.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(call("DELETE", first.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.assertEqual(self.wait_for_results(second, "b1"), first_results)

    def test_results_that_span_several_pages_of_the_store(self):
        first, second = self.start_entries()
        # More items than the replicas run at once, while the trainer needs only one group.
        self.assertEqual(self.submit(first, "b1", {**submission(20), "desiredCount": 1}).status, 202)
        first_results = self.wait_for_results(first, "b1")
        self.assertGreater(len(self.platform.store.keys_with_prefix("batch/page/b1/")), 1)
        self.assertEqual(call("DELETE", first.callers + "/lots/b1", headers={**HOST, **KEY}).status, 200)
        self.platform.store.list_page_size = 1
        first.allowed_exit_codes = None
        first.kill()
        wait_until(lambda: len(self.platform.store.keys_with_prefix("/lovagerail/duties/node/")) == 1, "the lease expires", 6)
        self.assertEqual(self.wait_for_results(second, "b1"), first_results)

    def test_targets_are_ordered_for_waiting_work(self):
        first, _ = self.start_entries()
        self.platform.put_config(config(2, autoscale={"min": 1, "max": 3, "bootTimeS": 1, "spotPrice": 0.3, "zonePrices": {"north": 1, "south": 1}}))
        self.platform.duties.domains_without_capacity = {"south"}
        for engine in self.engines:
            engine.events, engine.event_interval_s = 100, 0.05
        self.assertEqual(self.submit(first, "b1", submission(30)).status, 202)  # 60 items for 24 slots
        wait_until(lambda: self.platform.duties.scale_orders, "a scale order", 6)
        service, domain, count, spot = self.platform.duties.scale_orders[0]
        self.assertEqual((service, domain), ("pool", "north"))
        # Two firm targets run there already; cheap (spot) targets are counted separately.
        self.assertEqual(count, 1 if spot else 3)
        started_engine = self.platform.engine("pool", "north", models=["m"])
        wait_until(lambda: started_engine.executed_requests, "work at the new target", 5)
        self.assertLessEqual(max(count for _, _, count, _ in self.platform.duties.scale_orders), 3)

    def test_a_submission_waits_for_the_store(self):
        first, _ = self.start_entries()
        self.platform.store.refused_callers.add("all")
        began = time.monotonic()
        threading.Timer(1.5, self.platform.store.refused_callers.clear).start()
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        self.assertGreater(time.monotonic() - began, 1.4)
        # The items ran during the outage, so their results follow soon.
        self.assertEqual(len(self.wait_for_results(first, "b1", 2)), 4)

    def test_an_unanswered_store_write_is_retried_soon(self):
        first, _ = self.start_entries()
        first.send_request("/plain/x", "r1")  # lets the entry learn that the store answers within milliseconds
        self.platform.store.unanswered_submissions = 2
        began = time.monotonic()
        self.assertEqual(self.submit(first, "b1", submission(2)).status, 202)
        self.assertLess(time.monotonic() - began, 2.4)  # timeouts of 0.4 s and 0.8 s, each followed by a wait of 0.25 s
        self.assertEqual(len(self.wait_for_results(first, "b1", 5)), 4)

    def test_lost_store_answers_duplicate_no_result(self):
        first, second = self.start_entries()
        self.platform.store.lose_answers = 2
        self.assertEqual(self.submit(first, "b1", submission(3)).status, 202)
        time.sleep(0.05)
        self.platform.store.lose_answers = 2
        results = self.wait_for_results(second, "b1")
        self.assertEqual(len({result["id"] for result in results}), 6)


if __name__ == "__main__":
    unittest.main(verbosity=2)
