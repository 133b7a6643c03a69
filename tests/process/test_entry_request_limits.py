"""Replicas that name in their answers how many requests a second they take from all instances together."""

import threading
import time
import unittest

from entry_world import EntryCase, submission
from kit import wait_until

CONTACT_TIME_S = 3  # in which the instances learn of a limit
WINDOW_S = 4
ALLOWED_FACTOR = 1.5  # of the limit in a window
ALLOWED_EXTRA = 5  # requests in a window beyond that


def most_in_window(arrivals, start):
    """The largest number of arrivals within WINDOW_S, of windows that begin at `start` or later."""
    times = [at for at, _ in arrivals if at >= start]
    return max((sum(begin <= at < begin + WINDOW_S for at in times) for begin in times), default=0)


class Callers:
    """Callers that keep sending plain requests to each instance, in threads of their own."""

    def __init__(self, entries, interval_s):
        self.entries, self.interval_s = entries, interval_s
        self.statuses = []  # (monotonic time, status; 0 if the connection failed)
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._send, args=(index,), daemon=True) for index in range(len(entries))]
        for thread in self._threads:
            thread.start()

    def _send(self, index):
        number = 0
        while not self._stopped.wait(self.interval_s):
            number += 1
            threading.Thread(target=self._send_one, args=(self.entries[index], f"c{index}-{number}"), daemon=True).start()

    def _send_one(self, entry, request_id):
        try:
            status = entry.send_request("/plain/x", request_id).status
        except OSError:
            status = 0
        self.statuses.append((time.monotonic(), status))

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()


class EntryRequestLimits(EntryCase):
    def name_limit(self, replicas, per_second):
        for replica in replicas:
            replica.extra_headers["Server-Limit"] = str(per_second)
        return time.monotonic()

    def check_limit(self, replica, per_second, named_at, until):
        begin = named_at + CONTACT_TIME_S
        most = most_in_window(replica.arrivals, begin)
        self.assertLessEqual(most, ALLOWED_FACTOR * per_second * WINDOW_S + ALLOWED_EXTRA, f"{replica.name} in {WINDOW_S} s")
        taken = sum(begin <= at < until for at, _ in replica.arrivals)
        self.assertGreaterEqual(taken, per_second * (until - begin) / 2, f"{replica.name} gets at least half of what it takes")

    def test_a_replica_gets_no_more_than_the_limit_that_it_names(self):
        entries = self.start_entries(4)
        callers = Callers(entries, 0.05)
        time.sleep(1.5)
        named_at = self.name_limit(self.shops, 3)
        time.sleep(CONTACT_TIME_S + 2 * WINDOW_S)
        callers.stop()
        for shop in self.shops:
            self.check_limit(shop, 3, named_at, time.monotonic())
        self.assertLessEqual({status for _, status in callers.statuses}, {200, 503})

    def test_the_limit_holds_while_instances_restart(self):
        entries = self.start_entries(4)
        callers = Callers(entries, 0.05)
        time.sleep(1.5)
        named_at = self.name_limit(self.shops, 3)
        for index in (0, 1):
            time.sleep(3)
            entries[index].kill()
            time.sleep(1)
            entries[index] = self.entry(index)
            wait_until(entries[index].is_ready, f"{entries[index].name} is ready")
        time.sleep(WINDOW_S)
        callers.stop()
        for shop in self.shops:
            self.check_limit(shop, 3, named_at, time.monotonic())

    def test_items_of_batches_stay_below_the_limit_and_come_in_full(self):
        entries = self.start_entries(4)
        named_at = self.name_limit(self.engines, 2)
        for entry in entries[:2]:  # both learn of the limit
            self.assertEqual(self.submit(entry, "first-" + entry.name, submission(2, step=90 + int(entry.name[-1]))).status, 202)
        time.sleep(CONTACT_TIME_S)
        for step, entry in enumerate(entries[:2], 1):
            self.assertEqual(self.submit(entry, f"b{step}", submission(16, step=step)).status, 202)
        for step, entry in enumerate(entries[:2], 1):
            self.wait_for_results(entry, f"b{step}", 40)
        for engine in self.engines:
            self.assertLessEqual(most_in_window(engine.arrivals, named_at + CONTACT_TIME_S), ALLOWED_FACTOR * 2 * WINDOW_S + ALLOWED_EXTRA, engine.name)

    def test_a_limit_ends_when_answers_name_none(self):
        entries = self.start_entries(2)
        callers = Callers(entries, 0.04)
        time.sleep(1)
        self.name_limit(self.shops, 1)
        time.sleep(CONTACT_TIME_S)
        for shop in self.shops:
            del shop.extra_headers["Server-Limit"]
        ended_at = time.monotonic()
        time.sleep(2 * CONTACT_TIME_S)
        callers.stop()
        late = [at for shop in self.shops for at, _ in shop.arrivals if at >= ended_at + CONTACT_TIME_S]
        self.assertGreater(len(late), CONTACT_TIME_S * 25)  # of 50 requests a second


if __name__ == "__main__":
    unittest.main(verbosity=2)
