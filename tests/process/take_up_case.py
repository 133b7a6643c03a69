"""Shared base of the tests of streams that callers take up again after a release."""

import threading
import time

from kit import wait_until
from software_versions_case import EVENTS, SoftwareVersionsCase, software_of

STREAMS = 14  # of which more than two may not hold events of two versions; at 12 the share that goes on counts
IN_TOUCH_S = 3  # after a start


class TakeUpCase(SoftwareVersionsCase):
    def start_one_version(self, count):
        return self.start_mixed(count, event_interval_s=0.01, versions=("v1", "v1"))

    def leave(self, software):
        for engine in self.engines:
            if engine.software == software:
                self.platform.store.remove("servers/" + engine.name)

    def join(self, software, count):
        for _ in range(count):
            engine = self.platform.engine("pool", "north", models=["m"], software=software, events=EVENTS, event_interval_s=0.01)
            engine.event_text = "e{number}@{software}"
            self.engines.append(engine)

    def begin(self, entry, software=None, count=STREAMS):
        """Begins streams and leaves them after three events; returns those that began at the version."""
        broken = {}
        for number in range(4 * count):
            name = f"{entry.name}-b{len(self.begun)}"
            self.begun.append(name)
            status, data = self.read_stream(entry, name, most=3)
            if status == 200 and software in (None, *software_of(data)):
                broken[name] = data
            if len(broken) == count:
                return broken
        self.fail(f"{len(broken)} streams began at {software}")

    def setUp(self):
        super().setUp()
        self.begun = []

    def restart_all(self, while_down=lambda: None):
        for entry in self.entries:
            entry.kill()
        while_down()
        self.entries = [self.entry(index) for index in range(len(self.entries))]
        for entry in self.entries:
            wait_until(entry.is_ready, f"{entry.name} is ready")
        return self.entries

    def take_up(self, broken, entries, resumes, tries=1):
        """Takes all up at once, each again after a refusal as long as tries are left; returns how many went on, and how many of them hold two versions."""
        answers, refusals = {}, []

        def run(number, name, data):
            for attempt in range(tries):
                more = {"Last-Event-Id": str(len(data)), **({"Resumes": name} if resumes else {})}
                status, rest = self.read_stream(entries[number % len(entries)], f"{name}-t{attempt}", **more)
                answers[name] = status, data + rest
                if status == 200:
                    return
                refusals.append(name)
                time.sleep(0.3)

        threads = [threading.Thread(target=run, args=(number, *item)) for number, item in enumerate(broken.items())]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(answers), set(broken))
        self.assertLessEqual({status for status, _ in answers.values()}, {200, 503})
        texts = [data for status, data in answers.values() if status == 200]
        for data in texts:
            self.assertEqual([line.split("@")[0] for line in data], [f"e{number}" for number in range(1, EVENTS + 1)])
        joined = sum(len(software_of(data)) > 1 for data in texts)
        print(f"{self.id().rsplit('.', 1)[1]}: of {len(broken)} streams {len(texts)} went on, {joined} joined from two versions; refused {len(refusals)} times")
        return len(texts), joined
