"""Shared base of the test_rollouts*.py tests: a fleet, a trainer, and the checks of what it received."""

import json

from fleet import Fleet
from kit import KitTest

STALENESS_BOUND = 2


class RolloutCase(KitTest):
    def fleet(self, **options):
        flags = {"tokens_per_second": 150, "chunk_tokens": 2, **options.pop("engine_flags", {})}
        return Fleet(self.kit, engine_flags=flags, **options).set_up()

    def start_trainer(self, fleet, steps=4, **options):
        return self.kit.start_client("trainer", entries=fleet.callers(), keys=[fleet.keys["trainer"]], run="quotes", first_step=0, first_cursor=0,
                                     steps=steps, groups=4, group_size=4, deadline_ms=60000, train_ms=100, timeout_ms=5000, **options)

    def check_delivery(self, fleet, trainer, steps=4):
        """Checks the trainer's output: each slot once, complete texts, spans that fit the texts, staleness within the bound."""
        trainer.wait(75)
        lines = [json.loads(line) for line in trainer.output().splitlines() if line.startswith("{")]
        samples, summary = [line for line in lines if not line.get("summary")], lines[-1]
        self.assertTrue(summary["whole"], summary)
        slots = {(s["step"], s["group"], s["index"]) for s in samples}
        self.assertEqual(len(slots), steps * 16, summary)
        for name in ("duplicates", "differing_repeats", "broken_texts", "spans_unlike_text", "without_spans"):
            self.assertEqual(summary[name], 0, summary)
        self.assertLessEqual(summary["oldest"], STALENESS_BOUND)
        for sample in samples:
            self.assertLessEqual(sample["age"], STALENESS_BOUND)
        return samples, summary

    def steps_received(self, trainer):
        return len({line["step"] for line in map(json.loads, filter(lambda text: text.startswith('{"age"'), trainer.output().splitlines()))})

    def coordinator(self, fleet):
        runs = fleet.ctl_json("runs", on=next(name for name, d in fleet.daemons.items() if d.running))["runs"]
        return runs[0]["coordinator"] if runs else None
