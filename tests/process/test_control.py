"""The control plane while a daemon is paused or cut off, and the time until an accepted
configuration is in force on all daemons. Prints the measured times."""

import re
import statistics
import time
import unittest

from fleet import CONFIGURATION, Fleet
from kit import KitTest, call, get, wait_until

COMPLETION = {"model": "model", "prompt": "is it there", "max_tokens": 2}


def config_revision(daemon):
    return int(float(re.search(r"^lovagerail_config_revision (\S+)", get(daemon.operators + "/metrics").body.decode(), re.M).group(1)))


def request_completion(url, key):
    return call("POST", url + "/v1/completions", COMPLETION, headers={"Authorization": "Bearer " + key})


class ControlTest(KitTest):
    def start(self, **flags):
        self.fleet = Fleet(self.kit, **flags).set_up()
        return self.fleet

    def test_paused_daemon_catches_up(self):
        fleet = self.start()
        paused = fleet.daemons["entry-2"]
        before = config_revision(paused)
        paused.pause()
        time.sleep(1)
        edited = CONFIGURATION.replace("weight = 3", "weight = 4")
        fleet.configuration_file.write_text(edited)
        fleet.ctl("apply", "-f", fleet.configuration_file)
        time.sleep(2)
        paused.resume()
        revisions = []

        def caught_up():
            revisions.append(config_revision(paused))
            return revisions[-1] > before and revisions[-1] == config_revision(fleet.daemons["entry-0"])
        begin = time.monotonic()
        wait_until(caught_up, "paused daemon catches up", 10)
        print(f"paused 3 s, up to date {(time.monotonic() - begin) * 1000:.0f} ms after it resumes", flush=True)
        self.assertEqual(revisions, sorted(revisions))
        wait_until(lambda: fleet.is_serving(paused.callers), "paused daemon serves", 10)

    def test_daemon_that_reaches_too_few_peers_refuses_keyed_requests(self):
        fleet = self.start(settings={"timing": {"heartbeat": "200ms", "lease": "1s", "drain": "10s", "load_reports": "200ms", "target_list": "200ms",
                                                "usage_window": "3s", "usage_grace": "1s", "cut_off": "2s"}})
        url = fleet.daemons["entry-0"].callers
        fleet.kv.faults(outage=True)
        time.sleep(4)
        # No daemon reaches the service, but they reach each other, so all keep serving.
        self.assertEqual({request_completion(each, fleet.keys["mawr"]).status for each in fleet.callers()}, {200})
        begin = time.monotonic()
        for name in ("entry-1", "entry-2", "entry-3"):
            fleet.daemons[name].kill()
            fleet.daemons[name].allowed_exit_codes = None
        wait_until(lambda: request_completion(url, fleet.keys["mawr"]).status == 503, "keyed requests are refused", 10)
        print(f"alone of 4 in an outage, refuses keyed requests after {(time.monotonic() - begin) * 1000:.0f} ms", flush=True)
        self.assertEqual(request_completion(url, fleet.keys["mawr"]).json["error"]["reason"], "cut_off")
        self.assertEqual(get(url + "/open/hours").status, 200)
        fleet.kv.faults(outage=False)
        wait_until(lambda: request_completion(url, fleet.keys["mawr"]).status == 200, "keyed requests are served again", 15)

    def test_configuration_reaches_all(self):
        fleet = self.start()
        from_tool_end = []
        from_tool_start = []
        for i in range(20):
            fleet.configuration_file.write_text(CONFIGURATION.replace("weight = 3", f"weight = {10 + i}"))
            tool_started = time.monotonic()
            fleet.ctl("apply", "-f", fleet.configuration_file, on=fleet.daemon_names[i % 4])
            begin = time.monotonic()
            newest = config_revision(fleet.daemons[fleet.daemon_names[i % 4]])
            wait_until(lambda: all(config_revision(daemon) >= newest for daemon in fleet.daemons.values()), "in force everywhere", 5, every=0.002)
            from_tool_end.append((time.monotonic() - begin) * 1000)
            from_tool_start.append((time.monotonic() - tool_started) * 1000)
        for what, figures in (("the tool's end", from_tool_end), ("the tool's start", from_tool_start)):
            print(f"20 applies, from {what} to in force on 4 daemons: median {statistics.median(figures):.0f} ms, worst {max(figures):.0f} ms", flush=True)
        self.assertLess(max(from_tool_end), 3000)


if __name__ == "__main__":
    unittest.main()
