"""Usage of client accounts, as entry instances report it through outages of the store and ends of instances."""

import time
import unittest

from entry_world import EntryCase
from kit import wait_until


class EntryUsage(EntryCase):
    def test_usage_is_reported_once_a_window(self):
        first, second = self.start_entries()
        for number in range(6):
            (first, second)[number % 2].send_request("/plain/x", f"r{number}")
        def reported_requests():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: reported_requests() == 6, "all six are reported", 10)
        time.sleep(2.5)
        self.assertEqual((reported_requests(), self.platform.duties.differing_reports), (6, []))

    def test_usage_is_complete_after_a_store_outage(self):
        first, second = self.start_entries()
        self.platform.store.refused_callers.add("all")
        for number in range(6):
            (first, second)[number % 2].send_request("/plain/x", f"r{number}")
        time.sleep(4)  # longer than a lease lasts
        self.platform.store.refused_callers.clear()

        def reported_requests():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: reported_requests() == 6, "all six are reported", 12)
        self.assertEqual(self.platform.duties.differing_reports, [])

    def test_usage_of_an_instance_that_stops_is_kept(self):
        self.check_usage_is_kept(lambda entry: entry.terminate())

    def test_usage_of_an_instance_that_is_killed_is_kept(self):
        self.check_usage_is_kept(lambda entry: (time.sleep(0.5), entry.kill()))

    def check_usage_is_kept(self, end_instance):
        first, second, _ = self.start_entries(3)
        time.sleep(2 - time.time() % 2 + 0.1)  # just after a usage window began
        for number in range(6):
            (first, second)[number % 2].send_request("/plain/x", f"r{number}")
        end_instance(first)

        def reported_requests():
            return sum(counts.get("acme", 0) for counts in self.platform.duties.reports.values())
        wait_until(lambda: reported_requests() == 6, "all six are reported", 10)
        self.assertEqual(self.platform.duties.differing_reports, [])

if __name__ == "__main__":
    unittest.main()
