"""Duties whose receivers do not check fencing numbers."""

import json
import unittest

from entry_world import EntryCase
from kit import wait_until


class EntryDuties(EntryCase):
    def test_a_new_holder_of_a_duty_acts_after_the_calls_of_the_old_one(self):
        # The receiver checks no fencing numbers, and a call of a holder that stops takes effect 1 s later.
        first, second, third = self.start_entries(3, turn_time="3s")
        self.platform.duties.checks_fencing = False
        first.send_request("/plain/x", "r0")
        wait_until(lambda: self.platform.duties.reports, "a first report", 12)
        holder_name = json.loads(self.platform.store.value("/lovagerail/duties/usage"))["instance"]
        holder = next(entry for entry in (first, second, third) if entry.name == holder_name)
        self.platform.duties.effect_delays.append(1)
        wait_until(lambda: self.platform.duties.delayed_calls, "a call that takes effect late", 5)
        holder.terminate()
        reported = max(self.platform.duties.reports)
        wait_until(lambda: max(self.platform.duties.reports) > reported + 2, "the new holder reports", 15)
        self.assertEqual((self.platform.duties.outdated_calls, self.platform.duties.differing_reports), ([], []))


if __name__ == "__main__":
    unittest.main(verbosity=2)
