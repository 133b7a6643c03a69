"""Operators who edit the same object at the same time at different daemons: each accepted change
is in the history, a lost race is reported as a conflict that names the object, and no accepted
change is overwritten by an edit that was based on an older revision."""

import threading
import unittest

from fleet import Fleet
from kit import KitTest

ROUNDS = 12
EXIT_OK, EXIT_CONFLICT = 0, 5


class ConcurrentOperators(KitTest):
    def test_concurrent_labels_of_the_same_object(self):
        fleet = Fleet(self.kit, engines=1, services=1)
        fleet.apply()
        accepted, conflicts = set(), 0
        for round_number in range(ROUNDS):
            outcomes = {}

            def set_label(operator, daemon, value=round_number):
                outcomes[operator] = fleet.ctl("label", "client_account", "mawr", f"{operator}={value}", on=daemon, check=False)

            threads = [threading.Thread(target=set_label, args=pair) for pair in (("carys", "entry-0"), ("dai", "entry-1"))]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for operator, result in outcomes.items():
                self.assertIn(result.returncode, (EXIT_OK, EXIT_CONFLICT), result.stderr)
                if result.returncode == EXIT_OK:
                    accepted.add((operator, str(round_number)))
                else:
                    conflicts += 1
                    self.assertIn("client_account/mawr", result.stderr)
            # The current labels are those of the last accepted change of each operator.
            labels = fleet.ctl_json("get", "client_account", "mawr")["objects"][0]["object"]["labels"]
            for operator in ("carys", "dai"):
                last = [value for name, value in accepted if name == operator]
                if last:
                    self.assertEqual(labels[operator], max(last, key=int))
        history = fleet.ctl_json("history", "--limit", 100)["history"]
        changes = [entry for entry in history if entry["summary"].startswith("label client_account/mawr")]
        self.assertEqual(len(changes), len(accepted))
        print(f"\n{2 * ROUNDS} edits: {len(accepted)} accepted, {conflicts} conflicts")
        self.assertGreater(conflicts, 0, "no two edits conflicted")

    def test_an_invalid_file_changes_nothing(self):
        fleet = Fleet(self.kit, daemons=1, engines=1, services=1)
        fleet.apply()
        before = fleet.ctl_json("status")["instances"][0]["revision"]
        invalid_file = self.kit.folder / "broken.toml"
        invalid_file.write_text(fleet.configuration_file.read_text() + '\n[[run]]\nname = "late"\naccount = "nobody"\ngroup_size = 0\n')
        result = fleet.ctl("apply", "-f", invalid_file, check=False)
        self.assertEqual(result.returncode, 1, result.stderr)
        self.assertIn("run/late", result.stderr)
        self.assertEqual(fleet.ctl_json("status")["instances"][0]["revision"], before)


if __name__ == "__main__":
    unittest.main()
