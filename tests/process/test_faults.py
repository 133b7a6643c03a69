"""A short fixed schedule of faults with all guarantees checked; soak.py runs the long seeded one."""

import unittest

import checker
import soak
from fleet import Fleet
from kit import KitTest, call

SEED = 20
SECONDS = 45
EPISODES = (
    ("engine_crash", "daemon_kill"),
    ("kv_outage", "planned_stop"),
    ("daemon_pause", "failed_swaps"),
    ("cut_streams", "crossed_answers"),
    ("cheap_domain_gone", "service_crash"),
    ("unversioned_chunks", "reports_lost"),
    ("lapse_leases", "lost_orders"),
    ("kv_stale_reads", "daemon_kill"),
    ("poison_request",),
    ("operators_race", "kv_answers_lost"),
    ("service_requests_dropped", "service_answers_lost"),
)


class FixedFaultSchedule(KitTest):
    def test_guarantees_hold_under_faults(self):
        testbed = soak.run(self.kit, SEED, EPISODES, SECONDS, fault_duration_s=0.9)
        violations = checker.check(testbed.observed)
        print(soak.summary_table(testbed, violations), flush=True)
        self.assertEqual([str(violation) for violation in violations], [])
        # Guards against a run without traffic or faults, which would have no violations either.
        self.assertGreater(sum(request["outcome"] == "ok" for request in testbed.observed.requests), 100)
        self.assertTrue(testbed.observed.batches and testbed.observed.kills and testbed.observed.stops and testbed.observed.usage["windows"])
        self.assertEqual(len(testbed.observed.faults), len(EPISODES))


class CompleteResponses(KitTest):
    """Regression test: a stream that was cut after its last token used to be resumed with one token too many."""

    def test_a_response_cut_after_its_last_token_is_complete(self):
        fleet = Fleet(self.kit, daemons=1, engines=2).set_up()
        for fault in ("truncate_streams", "truncate_cleanly"):
            for engine in fleet.engines:
                engine.faults(**{fault: 1})
            for number in range(4):
                body = {"model": "model", "prompt": f"{fault} {number}: quote", "max_tokens": 4}
                response = call("POST", fleet.callers()[0] + "/v1/completions", body, fleet.auth("bach"))
                self.assertEqual(response.status, 200, response)
                self.assertEqual(response.json["usage"]["completion_tokens"], 4)
                self.assertEqual(len(response.json["choices"][0]["text"].split()), 4)
                self.assertEqual(response.json["choices"][0]["finish_reason"], "length")


if __name__ == "__main__":
    unittest.main()
