"""Answers whose status line is none, on each path on which an entry instance reads answers: they are never taken for answers."""

import json
import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from faulty_replica import FaultyReplica
from kit import Stream, wait_until
from platform_standin import Store

STATUS_LINES = ("HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2 200 OK", "HTTP/1.1 200OK")


def replace_status_line(data, line):
    return line.encode() + data[data.index(b"\r\n"):]


class OddReplica(FaultyReplica):
    """Begins answers of the routes in `odd_routes` with `status_line`."""

    status_line, odd_routes = None, ()

    def handle(self, request):
        if self.status_line is None or not request.route.startswith(self.odd_routes):
            super().handle(request)
            return
        self.executed_requests.append((request.route, dict(request.headers)))
        body = request.body or b"x"
        if request.route == "/report":
            body = json.dumps({"busy": False, "sequence": self.orders_applied, "models": [{"name": "m", "version": 1}]}).encode()
        kind = ["Content-Type: text/event-stream", "Weight-Versions: 1"] if self.versions else []
        head = b"HTTP/1.1 200 OK\r\n" + f"Attempt-Id: {request.headers.get('Attempt-Id', '')}\r\nServer-Stamp: stamp\r\n".encode()
        text = self.text_events(request) if kind and request.route not in ("/report", "/order") else body
        data = head + "".join(line + "\r\n" for line in kind).encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        self.send_and_close(request, replace_status_line(data, self.status_line))


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


class StatusLines(EntryCase):
    def start_with_odd(self, service, routes, **more):
        """One odd replica; all others of the service are gone."""
        entries = self.start_entries()
        self.odd = OddReplica(self.platform, "i-odd", service, "north", **more)
        self.odd.odd_routes = routes
        self.platform.replicas.append(self.odd)
        for replica in self.shops if service == "shop" else self.engines:
            self.platform.store.remove("servers/" + replica.name)
        for entry in entries:
            wait_until(lambda entry=entry: "target=i-odd" in entry.output(), f"{entry.name} knows the replica")
        time.sleep(1)
        return entries

    def check_requests(self, path):
        first, _ = self.start_with_odd("shop", (path,))
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            with self.subTest(status_line=line):
                # A body of its own for each, as one that fails twice is kept from targets.
                answer = first.send_request(path + "x", f"r{number}", body=line.encode())
                self.assertEqual((answer.status, answer.headers.get("Server-Stamp")), (502, None))
        self.assertGreaterEqual(len(self.odd.executed_requests), len(STATUS_LINES))
        self.odd.status_line = None
        self.assertEqual(first.send_request(path + "x", "sound").status, 200)

    def test_requests_that_may_be_repeated(self):
        self.check_requests("/plain/")

    def test_requests_that_may_run_once(self):
        self.check_requests("/once/")
        ids = [headers["Attempt-Id"] for _, headers in self.odd.executed_requests]
        self.assertEqual(len(ids), len(set(ids)))

    def test_streams(self):
        first, _ = self.start_with_odd("pool", ("/talk/",), models=["m"])
        for number, line in enumerate(STATUS_LINES):
            self.odd.status_line = line
            with self.subTest(status_line=line):
                with Stream("POST", first.callers + "/talk/x", line.encode(), {**HOST, **KEY, "Attempt-Id": f"s{number}", "Deadline-Ms": "2500", "Model": "m"}) as stream:
                    self.assertEqual((stream.status, stream.headers.get("Server-Stamp")), (502, None))
        self.assertTrue(self.odd.executed_requests)

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
