"""A rollout goes on while all daemons are stopped and started again, one after the other."""

import json
import unittest

from fleet import Fleet
from kit import KitTest, wait_until

STEPS = 16
RESTARTS_OF_EACH = 2


class RollingRestart(KitTest):
    def test_a_rollout_goes_on_through_restarts_of_all_daemons(self):
        fleet = Fleet(self.kit, engine_flags={"tokens_per_second": 150, "chunk_tokens": 2}, daemons_with_data_folder=4).set_up()
        trainer = self.kit.start_client("trainer", entries=fleet.callers(), keys=[fleet.keys["trainer"]], run="quotes", first_step=0, first_cursor=0,
                                        steps=STEPS, groups=4, group_size=4, deadline_ms=80000, train_ms=1000, timeout_ms=5000)
        for _ in range(RESTARTS_OF_EACH):
            for name in fleet.daemon_names:
                fleet.daemons[name].terminate()
                wait_until(lambda name=name: not fleet.daemons[name].running, f"{name} has stopped", 15)
                fleet.start(name)
        trainer.wait(95)
        lines = [json.loads(line) for line in trainer.output().splitlines() if line.startswith("{")]
        summary = lines[-1]
        self.assertTrue(summary["whole"], summary)
        self.assertEqual(len({(s["step"], s["group"], s["index"]) for s in lines if not s.get("summary")}), STEPS * 16, summary)
        for name in ("duplicates", "differing_repeats", "broken_texts", "spans_unlike_text", "without_spans"):
            self.assertEqual(summary[name], 0, summary)


if __name__ == "__main__":
    unittest.main(verbosity=2)
