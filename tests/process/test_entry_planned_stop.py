"""A planned stop: each request that an instance takes is answered before its process ends, others are refused as not run."""

import http.client
import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config

STOP_S = 5.0
CLIENTS = 16
WORK_S = 0.6
DEADLINE_MS = 2000
FIRST_SENT_S, LAST_SENT_S = 1.6, 4.3  # after the signal; the process ends at STOP_S at the latest
LONG_EVENTS, LONG_INTERVAL_S = 100, 0.1


class KeptConnection:
    """A caller that goes on using its connection."""

    def __init__(self, entry):
        self.connection = http.client.HTTPConnection(entry.callers.removeprefix("http://"), timeout=8)

    def close(self):
        self.connection.close()

    def send(self, path, request_id, deadline_ms=DEADLINE_MS):
        """Returns the status and whether the connection closes, or None if the request was cut off."""
        try:
            self.connection.request("POST", path, request_id.encode(), {**HOST, **KEY, "Attempt-Id": request_id, "Deadline-Ms": str(deadline_ms), "Model": "m"})
            response = self.connection.getresponse()
            response.read()
            return response.status, response.will_close
        except (OSError, http.client.HTTPException):
            return None


class PlannedStop(EntryCase):
    bounds = {"stop": f"{STOP_S:.0f}s"}

    def connect(self, entry):
        connection = KeptConnection(entry)
        self.addCleanup(connection.close)
        return connection

    def start(self):
        entries = self.start_entries()
        changed = config(2)
        for entry in changed["routes"]:
            entry["timeoutMs"] = 20000
        self.platform.put_config(changed)
        time.sleep(0.5)
        return entries

    def arrived(self):
        return {path for shop in self.shops for _, path in shop.arrivals}

    def stop_while_sending(self, entry, connection_of):
        """Stops the instance while a long stream keeps it up, and sends requests that may run once; returns their outcomes by id."""
        for engine in self.engines:
            engine.events, engine.event_interval_s = LONG_EVENTS, LONG_INTERVAL_S
        stream = threading.Thread(target=self.connect(entry).send, args=("/talk/long", "long", 12000))
        stream.start()
        time.sleep(0.3)
        stopped = time.monotonic()
        entry.terminate()
        outcomes = {}

        def send(number):
            time.sleep(max(0.0, stopped + FIRST_SENT_S + (LAST_SENT_S - FIRST_SENT_S) * number / CLIENTS - time.monotonic()))
            outcomes[f"late{number}"] = connection_of(number).send(f"/once/late{number}", f"late{number}")

        threads = [threading.Thread(target=send, args=(number,)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in [*threads, stream]:
            thread.join()
        return outcomes

    def test_requests_on_kept_connections_are_not_cut_by_a_planned_stop(self):
        entry = self.start()[0]
        clients = [self.connect(entry) for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            self.assertEqual(client.send(f"/once/first{number}", f"first{number}"), (200, False))
        for shop in self.shops:
            shop.answer_delay_s = WORK_S
        outcomes = self.stop_while_sending(entry, lambda number: clients[number])
        ran = {path.rsplit("/", 1)[1] for path in self.arrived()}
        cut = [name for name, outcome in outcomes.items() if name in ran and outcome is None]
        self.assertEqual(cut, [], outcomes)
        for name, outcome in outcomes.items():
            if outcome is not None:
                self.assertIn(outcome, [(200, True), (503, True)])
                self.assertEqual(outcome == (200, True), name in ran, (name, outcome))
        self.assertEqual(set(outcomes.values()) - {None}, {(200, True), (503, True)})  # some came in time, some too late

    def test_no_request_that_may_run_once_is_left_in_doubt_late_in_a_planned_stop(self):
        entry = self.start()[0]
        for shop in self.shops:
            shop.answer_delay_s = 2 * WORK_S
        outcomes = self.stop_while_sending(entry, lambda number: self.connect(entry))
        ran = {path.rsplit("/", 1)[1] for path in self.arrived()}
        for name, outcome in outcomes.items():
            self.assertIn(outcome, [(200, True), (503, True)], name)
            self.assertEqual(outcome == (200, True), name in ran, (name, outcome))
        self.assertEqual(set(outcomes.values()), {(200, True), (503, True)})  # some came in time, some too late

    def test_a_request_that_outlasts_a_planned_stop_is_answered_before_the_process_ends(self):
        entry = self.start()[0]
        for shop in self.shops:
            shop.answer_delay_s = 2 * STOP_S
        outcomes = []
        asking = threading.Thread(target=lambda: outcomes.append(self.connect(entry).send("/once/slow", "slow", 15000)))
        asking.start()
        time.sleep(0.3)
        entry.terminate()
        asking.join()
        self.assertEqual(outcomes, [(504, True)])
        self.assertEqual(entry.finish(), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
