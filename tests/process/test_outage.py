"""An outage of the key-value service under load: no request fails, a key withdrawal takes
effect on all daemons, and daemons can restart. Prints the measured times."""

import json
import threading
import time
import unittest

from fleet import Fleet
from kit import KitTest, call, wait_until
from test_control import config_revision, request_completion


class OutageTest(KitTest):
    def post(self, daemon, path, body):
        return call("POST", daemon.operators + path, body, headers={"Authorization": "Bearer " + self.fleet.operator_key}, timeout=30)

    def start(self, **flags):
        self.fleet = Fleet(self.kit, **flags).set_up()
        return self.fleet

    def wait_until_refused_everywhere(self, raw, seconds):
        """Seconds until all running daemons refuse the key."""
        begin = time.monotonic()
        wait_until(lambda: all(request_completion(url, raw).status in (401, 403) for url in self.fleet.callers()), "key refused everywhere", seconds, every=0.01)
        return time.monotonic() - begin

    def test_outage_of_the_key_value_service(self):
        fleet = self.start(daemons_with_data_folder=1)
        key, raw = fleet.grant("bach")
        wait_until(lambda: all(request_completion(url, raw).status == 200 for url in fleet.callers()), "new key in force")
        time.sleep(6)  # the local snapshot is written every 5 s
        before = {name: config_revision(daemon) for name, daemon in fleet.daemons.items()}
        load = self.kit.start_client("load", entries=[fleet.daemons[name].callers for name in ("entry-1", "entry-2")], keys=[fleet.keys["mawr"]],
                                     duration_ms=14000, rate_per_second=20)
        time.sleep(1)
        fleet.kv.faults(outage=True)
        outage_began = time.monotonic()
        time.sleep(2)

        # A key withdrawal works without the key-value service.
        withdrawal_began = time.monotonic()
        withdrawal = threading.Thread(target=self.post, args=(fleet.daemons["entry-1"], "/v1/keys/withdraw", {"id": key}))
        withdrawal.start()
        self.wait_until_refused_everywhere(raw, 2)
        print(f"withdrawn on 4 daemons during an outage: {(time.monotonic() - withdrawal_began) * 1000:.0f} ms", flush=True)

        # A daemon with a local snapshot (entry-0) and one without restart during the outage.
        for name in ("entry-0", "entry-3"):
            begin = time.monotonic()
            fleet.daemons[name].kill()
            fleet.daemons[name].allowed_exit_codes = None
            daemon = fleet.start(name)
            wait_until(lambda: request_completion(daemon.callers, fleet.keys["mawr"]).status == 200, f"{name} serves in the outage", 10)
            print(f"{name} restarted in the outage serves after {(time.monotonic() - begin) * 1000:.0f} ms", flush=True)
            self.assertIn(request_completion(daemon.callers, raw).status, (401, 403))
            self.assertGreaterEqual(config_revision(daemon), before[name])
        time.sleep(max(0, 10 - (time.monotonic() - outage_began)))
        fleet.kv.faults(outage=False)
        load.wait(40)
        summary = json.loads(load.output().strip().splitlines()[-1])
        print(f"load during the outage: {json.dumps(summary)[:400]}", flush=True)
        outcomes = summary["outcomes"]
        self.assertGreater(outcomes.pop("ok"), 100)
        self.assertEqual(set(outcomes.values()), {0}, summary)
        withdrawal.join()
        # After the outage a daemon stores the withdrawal in the service: the one that was asked, or another that learned of it.
        wait_until(lambda: all(config_revision(daemon) > before[name] for name, daemon in fleet.daemons.items()), "withdrawal accepted", 20)
        self.assertEqual({request_completion(url, raw).status for url in fleet.callers()} - {401, 403}, set())


if __name__ == "__main__":
    unittest.main()
