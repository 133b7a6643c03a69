"""Streams taken up again after all instances were killed at once: none is joined from two software versions, and those of the only one go on."""

import time
import unittest

from take_up_case import IN_TOUCH_S, TakeUpCase


class EntryTakeUpsKilled(TakeUpCase):
    def test_all_instances_killed_when_the_old_version_leaves(self):
        entries = self.start_mixed()
        broken = self.begin(entries[0], "v1")
        entries = self.restart_all(lambda: self.leave("v1"))
        self.assertEqual(self.take_up(broken, entries, False)[1], 0)
        self.assertEqual(self.take_up(broken, entries, True)[1], 0)

    def test_all_instances_killed_while_one_version_serves(self):
        entries = self.start_one_version(3)
        for resumes in (False, True):
            broken = self.begin(entries[0])
            entries = self.restart_all()
            time.sleep(IN_TOUCH_S)
            went_on, joined = self.take_up(broken, entries, resumes, tries=3)
            self.assertEqual(joined, 0)
            self.assertGreaterEqual(went_on, len(broken) / 2)


if __name__ == "__main__":
    unittest.main(verbosity=2)
