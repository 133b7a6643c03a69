"""Streams at replicas of two versions of their software: each goes on only at the version that began it."""

import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, submission
from kit import CONNECTION_ERRORS, Stream, wait_until

EVENTS = 8


def software_of(lines):
    """The versions that made these events."""
    return {line.rsplit("@", 1)[1] for line in lines}


class EntrySoftwareVersions(EntryCase):
    def start_mixed(self, count=2, event_interval_s=0.02):
        """Two replicas of each version; the text of an event names the one that made it."""
        entries = self.start_entries(count)
        self.engines.append(self.platform.engine("pool", "south", models=["m"]))
        for index, engine in enumerate(self.engines):
            engine.software = "v1" if index < 2 else "v2"
            engine.events, engine.event_interval_s = EVENTS, event_interval_s
            engine.event_text = "e{number}@{software}"
            engine.publish_heartbeat()
        for entry in entries:
            wait_until(lambda entry=entry: "target=i-5 " in entry.output(), f"{entry.name} knows all replicas")
        time.sleep(1.5)  # until a change of the other entries is known everywhere
        return entries

    def break_streams(self, count):
        for engine in self.engines:
            engine.requests_to_break = count

    def headers(self, request_id, **more):
        return {**HOST, **KEY, "Attempt-Id": request_id, "Deadline-Ms": "2900", "Model": "m", **more}

    def read_stream(self, entry, request_id, most=EVENTS, **headers):
        """Status and event data of a stream, of at most so many events."""
        data = []
        with Stream("POST", entry.callers + "/talk/x", b"p", self.headers(request_id, **headers)) as stream:
            try:
                for line in stream.lines():
                    if line.startswith("data: "):
                        data.append(line[len("data: "):])
                    if len(data) == most:
                        break
            except CONNECTION_ERRORS:
                pass
            return stream.status, data

    def test_a_text_holds_events_of_one_version(self):
        first, second = self.start_mixed()
        for step in range(1, 4):
            self.break_streams(6)
            name = f"b{step}"
            self.assertEqual(self.submit(first, name, submission(10, step=step)).status, 202)
            for result in self.wait_for_results(second, name, 20):
                lines = result["text"].split("\n")
                self.assertEqual([line.split("@")[0] for line in lines], [f"e{number}" for number in range(1, EVENTS + 1)])
                self.assertEqual(len(software_of(lines)), 1, result)

    def test_a_text_of_a_killed_instance_goes_on_at_its_version(self):
        first, second = self.start_mixed(event_interval_s=0.7)  # long enough for its text to be stored
        self.assertEqual(self.submit(first, "b1", submission(6)).status, 202)
        time.sleep(4)
        first.kill()
        for result in self.wait_for_results(second, "b1", 30):
            self.assertEqual(len(software_of(result["text"].split("\n"))), 1, result)

    def test_a_text_whose_version_is_gone_begins_anew(self):
        first, second = self.start_mixed(event_interval_s=0.2)
        for engine in self.engines[:2]:
            engine.requests_to_break = 100
        self.assertEqual(self.submit(first, "b1", submission(6)).status, 202)
        time.sleep(0.3)
        self.assertGreater(sum(len(engine.executed_requests) for engine in self.engines[:2]), 0)
        for engine in self.engines[:2]:
            self.platform.store.remove("servers/" + engine.name)
        for result in self.wait_for_results(second, "b1", 20):
            self.assertEqual(len(software_of(result["text"].split("\n"))), 1, result)

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
