"""Shared base of the tests of instances that lost their paths to all replicas, while callers, the store and other
instances reach them."""

import itertools
import threading
import time

from entry_world import HOST, KEY, EntryCase
from kit import CONNECTION_ERRORS, Stream

CONTACT_TIME_S = 3  # from the cut on, until callers of cut instances are served as others are
CUT_TIME_S = 4  # beyond that
REQUEST_INTERVAL_S = 0.4  # between two requests to one instance
ALLOWED_SHARE = 2 / 3  # of the share that is served at the other instances


def allowed_failures(requests):
    return 10 + requests / 50


class CutCase(EntryCase):
    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()

    def cut(self, entries, how="silent", replicas=None):
        for replica in replicas or self.platform.replicas:
            replica.partition_from([entry.source_address for entry in entries], how)

    def heal(self):
        for replica in self.platform.replicas:
            replica.heal()

    def load(self, entries, seconds, send):
        """Sends requests to each instance for a while; returns the outcomes by instance: True if served."""
        outcomes = {entry.name: [] for entry in entries}
        threads = []

        def run(entry, number):
            try:
                served = send(entry, f"r{number}-{entry.name}")
            except CONNECTION_ERRORS:
                served = False
            outcomes[entry.name].append(served)

        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for entry in entries:
                threads.append(threading.Thread(target=run, args=(entry, next(self.numbers)), daemon=True))
                threads[-1].start()
            time.sleep(REQUEST_INTERVAL_S)
        for thread in threads:
            thread.join()
        return outcomes

    def check_served(self, cut_entries, others, outcomes):
        cut = [served for entry in cut_entries for served in outcomes[entry.name]]
        rest = [served for entry in others for served in outcomes[entry.name]]
        share, other_share = sum(cut) / len(cut), sum(rest) / len(rest)
        failed = len(cut) - sum(cut)
        print(f"cut instances served {sum(cut)} of {len(cut)}, the others {sum(rest)} of {len(rest)}")
        self.assertGreater(other_share, 0.9, "the others serve their callers")
        self.assertTrue(share >= ALLOWED_SHARE * other_share or failed <= allowed_failures(len(cut)), f"{failed} of {len(cut)} failed at cut instances")

    def send_plain(self, entry, name, prefix="/plain/"):
        response = entry.send_request(prefix + name, name)
        return response.status == 200 and response.body == b"hello"

    def send_stream(self, entry, name):
        with Stream("POST", entry.callers + "/talk/x", b"hello", {**HOST, **KEY, "Attempt-Id": name, "Deadline-Ms": "3000"}) as stream:
            return stream.status == 200 and sum(line.startswith("id:") for line in stream.lines()) == 5

    def play(self, cut_indices, how, send):
        entries = self.start_entries(4)
        cut_entries = [entries[i] for i in cut_indices]
        others = [entry for entry in entries if entry not in cut_entries]
        before = self.load(entries, 2, send)
        self.assertTrue(all(itertools.chain(*before.values())), "all are served before the cut")
        self.cut(cut_entries, how)
        self.load(entries, CONTACT_TIME_S, send)
        outcomes = self.load(entries, CUT_TIME_S, send)
        self.heal()
        self.check_served(cut_entries, others, outcomes)
        return cut_entries
