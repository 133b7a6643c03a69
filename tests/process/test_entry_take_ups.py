"""Streams taken up again after a release: none is joined from two software versions."""

import threading
import time
import unittest

from kit import wait_until
from take_up_case import STREAMS, TakeUpCase


class EntryTakeUps(TakeUpCase):
    def test_old_version_has_just_left(self):
        first, second = self.start_mixed()
        broken = self.begin(first, "v1")
        self.leave("v1")
        time.sleep(2.5)  # the drain bound is 2 s
        self.assertEqual(self.take_up(broken, [second], False)[1], 0)

    def test_one_version_serves(self):
        first, second = self.start_one_version(2)
        broken = self.begin(first)
        self.assertEqual(self.take_up(broken, [first, second], False), (STREAMS, 0))

    def take_up_where_an_instance_stood_still(self, resumes):
        first, second = self.start_one_version(2)
        time.sleep(1)
        first.pause()
        self.join("v2", 2)
        wait_until(lambda: "target=i-7 " in second.output(), "the other one knows the replicas", 5)
        broken = self.begin(second, "v2")
        threading.Timer(0.3, first.resume).start()
        self.assertEqual(self.take_up(broken, [first], resumes)[1], 0)

    def test_instance_that_stood_still_while_a_version_joined(self):
        self.take_up_where_an_instance_stood_still(False)

    def test_instance_that_stood_still_is_told_the_first_attempt(self):
        self.take_up_where_an_instance_stood_still(True)


if __name__ == "__main__":
    unittest.main(verbosity=2)
