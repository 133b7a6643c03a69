"""Operators who race, at different daemons: each accepted change is in the history, a
lost race is a conflict that names the object, and nothing accepted is overwritten by
an edit that began before it."""

import threading
import unittest

from fleet import Fleet
from kit import KitTest

ROUNDS = 12
OK, CONFLICT = 0, 5


class Operators(KitTest):
    def test_two_label_the_same_object_at_once(self):
        fleet = Fleet(self.kit, engines=1, services=1)
        fleet.apply()
        accepted, conflicts = set(), 0
        for round_number in range(ROUNDS):
            outcomes = {}

            def label(who, daemon, value=round_number):
                outcomes[who] = fleet.ctl("label", "client_account", "mawr", f"{who}={value}", on=daemon, check=False)

            racers = [threading.Thread(target=label, args=pair) for pair in (("carys", "entry-0"), ("dai", "entry-1"))]
            for racer in racers:
                racer.start()
            for racer in racers:
                racer.join()
            for who, done in outcomes.items():
                self.assertIn(done.returncode, (OK, CONFLICT), done.stderr)
                if done.returncode == OK:
                    accepted.add((who, str(round_number)))
                else:
                    conflicts += 1
                    self.assertIn("client_account/mawr", done.stderr)
            # The labels now are those of the last accepted change of each operator.
            labels = fleet.ctl_json("get", "client_account", "mawr")["objects"][0]["object"]["labels"]
            for who in ("carys", "dai"):
                last = [value for name, value in accepted if name == who]
                if last:
                    self.assertEqual(labels[who], max(last, key=int))
        history = fleet.ctl_json("history", "--limit", 100)["history"]
        changes = [entry for entry in history if entry["summary"].startswith("label client_account/mawr")]
        self.assertEqual(len(changes), len(accepted))
        print(f"\n{2 * ROUNDS} edits: {len(accepted)} accepted, {conflicts} conflicts")
        self.assertGreater(conflicts, 0, "the race never happened")

    def test_a_file_that_is_invalid_changes_nothing(self):
        fleet = Fleet(self.kit, daemons=1, engines=1, services=1)
        fleet.apply()
        before = fleet.ctl_json("status")["instances"][0]["revision"]
        broken = self.kit.folder / "broken.toml"
        broken.write_text(fleet.configuration_file.read_text() + '\n[[run]]\nname = "late"\naccount = "nobody"\ngroup_size = 0\n')
        done = fleet.ctl("apply", "-f", broken, check=False)
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertIn("run/late", done.stderr)
        self.assertEqual(fleet.ctl_json("status")["instances"][0]["revision"], before)


if __name__ == "__main__":
    unittest.main()
