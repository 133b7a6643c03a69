"""Answers whose status line is none, to items, reward calls, status checks, orders and calls to the store: they are never taken for answers."""

import json
import time
import unittest

from entry_world import EntryCase, submission
from faulty_replica import FaultyReplica
from kit import wait_until
from platform_standin import Store
from status_line_case import STATUS_LINES, OddReplica, StatusLineCase


class StatusLinesOfOwnCalls(StatusLineCase):
    def test_items_are_made_elsewhere(self):
        first, second = self.start_entries()
        self.odd = OddReplica(self.platform, "i-odd", "pool", "north", models=["m"])
        self.odd.odd_routes = ("/steps/",)
        self.platform.replicas.append(self.odd)
        for entry in (first, second):
            wait_until(lambda entry=entry: "target=i-odd" in entry.output(), f"{entry.name} knows the replica")
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            self.assertEqual(self.submit(first, f"b{number}", submission(4, step=number)).status, 202)
            results = self.wait_for_results(second, f"b{number}", 20)
            self.assertEqual({result["text"] for result in results}, {"\n".join(f"e{event}" for event in range(1, 6))}, line)
        self.assertTrue(self.odd.executed_requests)

    def test_reward_calls_give_no_score(self):
        first, second = self.start_with_odd("shop", ("/judge/",))
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            self.assertEqual(self.submit(first, f"b{number}", submission(1, step=number)).status, 202)
        time.sleep(2)
        for number in range(len(STATUS_LINES)):
            self.assertEqual(self.results(second, f"b{number}", wait_ms=0)["results"], [])
        self.assertTrue(self.odd.executed_requests)
        self.odd.status_line = None
        for number in range(len(STATUS_LINES)):
            scores = {result["score"] for result in self.wait_for_results(second, f"b{number}", 20)}
            self.assertEqual(len(scores), 2)
            self.assertTrue(all(score.startswith("stamp-") for score in scores))

    def test_status_checks_and_orders(self):
        self.start_with_odd("pool", ("/report", "/order"), models=["m"])
        self.odd.status_line = "HTTP/1.1 600 OK"
        self.platform.store.put("op/version/m", {"model": "m", "version": 2})
        wait_until(lambda: len([route for route, _ in self.odd.executed_requests if route == "/report"]) >= 2, "the replica is asked", 10)
        time.sleep(1)
        self.assertEqual(self.odd.orders_applied, 0)
        self.odd.status_line = None
        wait_until(lambda: self.odd.versions["m"] == 2, "the replica gets the version", 15)
        for entry in self.entries:
            self.assertTrue(entry.is_ready())


class OddStore(Store):
    """Does the next write of a key with this prefix and begins its answer with `status_line`."""

    status_line, prefix, odd_answers = None, None, 0

    def handle(self, request):
        keys = [row["key"] for row in json.loads(request.body).get("setKeys", [])] if request.route == "/kv-txn" else []
        if self.status_line is None or not any(key.startswith(self.prefix) for key in keys):
            super().handle(request)
            return
        self.odd_answers += 1
        line, self.status_line = self.status_line, None
        with self.lock:
            status, body = self._commit_transaction(request)
        data = json.dumps(body).encode()
        FaultyReplica.send_and_close(request, f"{line}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)


class StatusLinesOfTheStore(EntryCase):
    def platform_started(self):
        self.platform.store.__class__ = OddStore

    def test_a_submission_whose_write_got_no_answer_is_repeated(self):
        first, second = self.start_entries()
        store = self.platform.store
        for number, line in enumerate(STATUS_LINES):
            store.prefix, store.status_line, store.odd_answers = "batch/body/", line, 0
            status = first.send_request(f"/steps/b{number}", f"b{number}", body=json.dumps(submission(1, step=number)).encode()).status
            self.assertEqual((status, store.odd_answers > 0), (202, True), line)
            self.assertEqual(len(self.wait_for_results(second, f"b{number}", 10)), 2)


if __name__ == "__main__":
    unittest.main(verbosity=2)
