"""Streams of callers at replicas of two software versions: each goes on only at the version that began it."""

import threading
import time
import unittest

from software_versions_case import EVENTS, SoftwareVersionsCase, software_of


class EntrySoftwareStreams(SoftwareVersionsCase):
    def test_one_answer_holds_events_of_one_version(self):
        first, _ = self.start_mixed()
        for number in range(30):
            for engine in self.engines[::2]:  # one of each version
                engine.requests_to_break = 1
            status, data = self.read_stream(first, f"a{number}")
            self.assertEqual((status, len(data)), (200, EVENTS))
            self.assertEqual(len(software_of(data)), 1, data)

    def take_up(self, broken, entry):
        """Takes broken streams up at the entry; returns how many of them went on."""
        went_on = 0
        for request_id, data in broken.items():
            status, rest = self.read_stream(entry, request_id + "-2", **{"Last-Event-Id": str(len(data)), "Resumes": request_id})
            if status == 503:
                continue
            self.assertEqual(status, 200)
            self.assertEqual([line.split("@")[0] for line in data + rest], [f"e{number}" for number in range(1, EVENTS + 1)])
            self.assertEqual(len(software_of(data + rest)), 1, (data, rest))
            went_on += 1
        return went_on

    def test_a_caller_takes_a_stream_up_at_another_instance(self):
        first, second, third = self.start_mixed(3)
        broken = {}
        for number in range(20):
            broken[f"t{number}"] = self.read_stream(first, f"t{number}", most=3)[1]
        self.assertEqual(self.take_up(broken, second), len(broken))

    def test_streams_of_a_killed_instance_are_taken_up(self):
        entries = self.start_mixed(4, event_interval_s=0.1)
        broken = {}

        def begin(number):
            broken[f"k{number}"] = self.read_stream(entries[0], f"k{number}")[1]

        threads = [threading.Thread(target=begin, args=(number,)) for number in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        entries[0].kill()
        for thread in threads:
            thread.join()
        broken = {name: data for name, data in broken.items() if data}
        self.assertGreaterEqual(len(broken), 12)
        self.assertGreaterEqual(self.take_up(broken, entries[1]), len(broken) / 2)

    def test_a_stream_of_unknown_origin_is_not_joined_with_another(self):
        first, _ = self.start_mixed()
        status, _ = self.read_stream(first, "u-2", **{"Last-Event-Id": "3", "Resumes": "never-sent"})
        self.assertEqual(status, 503)

    def test_a_stream_whose_version_is_gone_is_refused(self):
        first, second = self.start_mixed()
        data = self.read_stream(first, "g", most=3)[1]
        for engine in self.engines:
            if {engine.software} == software_of(data):
                self.platform.store.remove("servers/" + engine.name)
        time.sleep(2.5)  # the drain bound is 2 s
        status, _ = self.read_stream(second, "g-2", **{"Last-Event-Id": "3", "Resumes": "g"})
        self.assertEqual(status, 503)


if __name__ == "__main__":
    unittest.main(verbosity=2)
