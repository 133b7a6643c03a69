"""An outage of the key-value service under load: no caller fails, a key is
withdrawn everywhere, daemons restart. Prints what it measured."""

import json
import threading
import time
import unittest

from fleet import Fleet
from kit import KitTest, call, wait_until
from test_control import ask, revision


class OutageTest(KitTest):
    def post(self, daemon, path, body):
        return call("POST", daemon.operators + path, body, headers={"Authorization": "Bearer " + self.fleet.operator_key}, timeout=30)

    def start(self, **flags):
        self.fleet = Fleet(self.kit, **flags).ready()
        return self.fleet

    def refused_everywhere(self, raw, seconds):
        """Seconds until all running daemons refuse the key."""
        begin = time.monotonic()
        wait_until(lambda: all(ask(url, raw).status in (401, 403) for url in self.fleet.callers()), "key refused everywhere", seconds, every=0.01)
        return time.monotonic() - begin

    def test_outage_of_the_key_value_service(self):
        fleet = self.start(data_folders=1)
        key, raw = fleet.grant("bach")
        wait_until(lambda: all(ask(url, raw).status == 200 for url in fleet.callers()), "new key in force")
        time.sleep(6)  # the local copy is written every 5 s
        before = {name: revision(daemon) for name, daemon in fleet.daemons.items()}
        load = self.kit.start_client("load", entries=[fleet.daemons[name].callers for name in ("entry-1", "entry-2")], keys=[fleet.keys["mawr"]],
                                     duration_ms=14000, rate_per_second=20)
        time.sleep(1)
        fleet.kv.faults(outage=True)
        outage = time.monotonic()
        time.sleep(2)

        # A withdrawal works without the service.
        withdrawing = time.monotonic()
        thread = threading.Thread(target=self.post, args=(fleet.daemons["entry-1"], "/v1/keys/withdraw", {"id": key}))
        thread.start()
        self.refused_everywhere(raw, 2)
        print(f"withdrawn on 4 daemons during an outage: {(time.monotonic() - withdrawing) * 1000:.0f} ms", flush=True)

        # One with a local copy and one without start during the outage.
        for name in ("entry-0", "entry-3"):
            begin = time.monotonic()
            fleet.daemons[name].kill()
            fleet.daemons[name].allowed_exits = None
            daemon = fleet.start(name)
            wait_until(lambda: ask(daemon.callers, fleet.keys["mawr"]).status == 200, f"{name} serves in the outage", 10)
            print(f"{name} restarted in the outage serves after {(time.monotonic() - begin) * 1000:.0f} ms", flush=True)
            self.assertIn(ask(daemon.callers, raw).status, (401, 403))
            self.assertGreaterEqual(revision(daemon), before[name])
        time.sleep(max(0, 10 - (time.monotonic() - outage)))
        fleet.kv.faults(outage=False)
        load.wait(40)
        summary = json.loads(load.output().strip().splitlines()[-1])
        print(f"load during the outage: {json.dumps(summary)[:400]}", flush=True)
        outcomes = summary["outcomes"]
        self.assertGreater(outcomes.pop("ok"), 100)
        self.assertEqual(set(outcomes.values()), {0}, summary)
        thread.join()
        # The service learns of the withdrawal, by whoever was asked or watches.
        wait_until(lambda: all(revision(daemon) > before[name] for name, daemon in fleet.daemons.items()), "withdrawal accepted", 20)
        self.assertEqual({ask(url, raw).status for url in fleet.callers()} - {401, 403}, set())


if __name__ == "__main__":
    unittest.main()
