"""Two models with more items than the engine pool has slots: both get a share, the urgent one the larger, and
engines are told the priorities. Guards against shares that never reach an owner, or hold items back for good."""

import json
import re
import time
import unittest

from entry_world import EntryCase, config, route, submission
from kit import wait_until


def submission_of(model, groups, step):
    return json.loads(json.dumps(submission(groups, step=step)).replace('"m"', f'"{model}"').replace("/steps/", f"/{model}/"))


class EntryShares(EntryCase):
    def test_a_pool_that_is_short_of_slots_is_shared(self):
        first, second = self.start_entries()
        document = config(2)
        document["routes"] += [route(name, f"/{name}/", "rollout", "pool", resultDeadlineMs=7500, itemTtlS=40, priority=priority) for name, priority in (("m", 2), ("n", 0))]
        document["services"][0]["engine"]["models"].append({"name": "n"})
        del document["tenants"][0]["priority"]
        self.platform.put_config(document)
        engines = [self.platform.engine("pool", zone, models=["m", "n"]) for zone in ("north", "south", "north")]
        for engine in self.engines + engines:
            engine.events, engine.event_interval_s = 50, 0.02
        time.sleep(1.5)  # the new targets and the configuration are known everywhere
        for model, entry, step in (("m", first, 1), ("n", second, 2)):
            body = json.dumps(submission_of(model, 60, step)).encode()  # 120 items of each for 48 slots
            self.assertEqual(entry.send_request(f"/{model}/b-{model}", f"b-{model}", body=body).status, 202)
        for model, entry in (("n", second), ("m", first)):
            self.wait_for_results(entry, f"b-{model}", 20)

        lines = [line for entry in self.entries for line in entry.output().splitlines()]
        # The first division that has both models.
        urgent, other = (re.search(rf"step=share service=pool model={model} .*? slots=(\d+) .* behind={behind}$", "\n".join(lines), re.MULTILINE) for model, behind in (("n", '""'), ("m", "n")))
        self.assertTrue(urgent and other, [line for line in lines if "step=share " in line])
        self.assertGreater(int(urgent[1]), int(other[1]))
        self.assertTrue(any("step=limited" in line for line in lines))
        told = {(headers["Model"], headers.get("Request-Priority")) for _, headers in self.platform.executed_requests("pool")}
        self.assertEqual(told, {("m", "2"), ("n", "0")})
        # With room for all items again, nothing is limited.
        wait_until(lambda: any("step=shares_ended" in line for entry in self.entries for line in entry.output().splitlines()), "shares end", 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
