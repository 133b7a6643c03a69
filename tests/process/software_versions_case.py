"""Shared base of the tests with replicas of two versions of their software."""

import time

from entry_world import HOST, KEY, EntryCase
from kit import CONNECTION_ERRORS, Stream, wait_until

EVENTS = 8


def software_of(lines):
    """The versions that made these events."""
    return {line.rsplit("@", 1)[1] for line in lines}


class SoftwareVersionsCase(EntryCase):
    def start_mixed(self, count=2, event_interval_s=0.02, versions=("v1", "v2")):
        """Two replicas of each of both versions; the text of an event names the one that made it."""
        entries = self.start_entries(count)
        self.engines.append(self.platform.engine("pool", "south", models=["m"]))
        for index, engine in enumerate(self.engines):
            engine.software = versions[index // 2]
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
