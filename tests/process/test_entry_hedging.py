"""The limit on the work of second attempts: taken over from a changed file, malformed ones are refused."""

import unittest

from entry_world import EntryCase
from kit import get, wait_until


class EntryHedging(EntryCase):
    def test_the_limit_is_taken_over_without_a_restart(self):
        first, _ = self.start_entries()
        path = self.kit.folder / f"{first.name}.toml"
        settings = path.read_text()
        # The instance notices a change only after it has read the file once.
        wait_until(lambda: first.send_request("/plain/x", "r1").status == 200, "a request is answered")
        path.write_text(settings + '\n[hedging]\nextra_work = "5%"\n')
        wait_until(lambda: "extra_work=5%" in first.output(), "the limit is in force", 10)
        path.write_text(settings + "\n[hedging]\nextra_work = 5\n")
        wait_until(lambda: "hedging.extra_work: expected a percentage" in first.output(), "the fault is logged", 10)
        self.assertEqual(first.send_request("/plain/x", "r2").status, 200)
        self.assertIn('lovagerail_target_work_seconds_total{kind="first"}', get(first.metrics + "/metrics").body.decode())
        path.write_text(settings)
        wait_until(lambda: "extra_work=unset" in first.output(), "the limit is removed", 10)


if __name__ == "__main__":
    unittest.main()
