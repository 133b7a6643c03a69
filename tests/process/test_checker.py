"""The checker must report every kind of violation: the tests take small valid
observations and apply one edit for each kind. Where a stand-in's fault violates a
guarantee when callers reach it directly, real stand-ins are used as well."""

import copy
import types
import unittest

import checker
import text_chain
from actors import Caller
from kit import KitTest
from observations import Observations

KEY = "lr_0123456789abcdef_secret"


def chain(prompt, length, count):
    """The first `count` tokens of the text that an engine generates for the prompt."""
    last = text_chain.xxh64(prompt.encode()) & text_chain.MASK32
    text = ""
    for index in range(count):
        last = text_chain._next_hash(last, index)
        text += f" {index}/{length}.{last:08x}"
    return text


def request(marker, **changes):
    made = {"marker": marker, "account": "bach", "permitted": True, "kind": "engine", "method": "POST", "idempotent": True, "entry": "entry-0",
            "key_id": "k1", "began": 100.0, "ended": 101.0, "status": 200, "outcome": "ok", "not_run": False, "reason": "",
            "prompt": f"[{marker}] Quote.", "most_tokens": 4, "sent": "", "echo": None}
    made["text"] = chain(made["prompt"], 9, 4)
    return {**made, **changes}


def attempt(prompt, tokens, number=1, version=1, **changes):
    return {"number": number, "attempt": f"a{number}", "head": "POST /v1/completions HTTP/1.1", "prompt_start": prompt, "first_token": 0,
            "tokens": tokens, "outcome": "done", "spans": [{"version": version, "tokens": tokens}], "received_at_ms": 100100, **changes}


def service_call(marker, **changes):
    return {"key": "k", "attempt": "s1", "head": "POST /stock HTTP/1.1", "method": "POST", "uri": f"/stock/{marker}", "ran": True,
            "body_start": "", "received_at_ms": 100100, **changes}


def sample(index, step=0, version=1):
    prompt = f"run quotes step {step} group 0 : draft"
    return {"step": step, "group": 0, "index": index, "spans": [{"version": version, "first": 0, "last": 3}], "text": chain(prompt, 4, 4)}


def batch(cursor, began, **changes):
    return {"run": "quotes", "cursor": cursor, "began": began, "ended": began + 0.1, "repeat": False, "generation": 1,
            "samples": [sample(0, cursor), sample(1, cursor)], **changes}


def usage_report(**changes):
    row = {"charged": True, "pool": "model-pool", "generated_tokens": 4, "requests": 1}
    service = {"charged": True, "pool": "trade-app", "generated_tokens": 0, "requests": 1}
    return {"account": "bach", "window": 7, "digest": "d1", "fencing_number": 2, "figures": {"rows": [row, service]}, "late": {}, **changes}


def valid_observations():
    """Observations without a violation."""
    observed = Observations()
    service = request("mk-bach-1-2", kind="service", idempotent=False, prompt=None, text=None, sent="{}", echo="{}")
    observed.requests = [request("mk-bach-1-1"), service,
                         request("mk-nobody-1-3", account="nobody", permitted=False, key_id=None, outcome="refused", status=401, not_run=True, text=None)]
    slots = [attempt(f"run quotes step {step} group 0 : draft", 4, 10 + 2 * step + index) for step in (0, 1) for index in (0, 1)]
    orders = [{"fencing_number": number, "model": "model", "order_id": str(number)} for number in (3, 3, 5)]
    observed.engines = [{"target": "engine-0", "attempts": [attempt("[mk-bach-1-1] Quote.", 4)] + slots, "orders": orders}]
    observed.services = [{"service": "service-0", "calls": [service_call("mk-bach-1-2")]}]
    observed.orders = [{"fencing_number": 1, "failure_domain": "a"}, {"fencing_number": 2, "failure_domain": "a"}]
    observed.batches = [batch(0, 200.0), batch(0, 200.5, repeat=True), batch(1, 202.0)]
    observed.supplied = [{"run": "quotes", "step": step, "groups": {0: ""}, "group_size": 2} for step in (0, 1)]
    observed.versions = [{"version": 1, "began": 199.0, "ended": 199.1}, {"version": 2, "began": 201.0, "ended": 201.1}]
    observed.usage = {"reports": [usage_report(), usage_report()], "windows": [usage_report()]}
    observed.withdrawals = [{"key_id": "k9", "account": "bach", "accepted": 100.0}]
    observed.accepted = [{"label": "tier", "value": "silver", "began": 100.0, "accepted": 100.1, "revision": 4},
                         {"label": "tier", "value": "closed", "began": 120.0, "accepted": 120.1, "revision": 5}]
    observed.readings = [{"entry": "entry-0", "label": "tier", "value": "silver", "revision": 4, "began": 110.0, "ended": 110.1, "answered": True},
                         {"entry": "entry-0", "label": "tier", "value": "closed", "revision": 5, "began": 130.0, "ended": 130.1, "answered": True}]
    observed.leaving = [{"target": "service-0", "began": 150.0, "ended": 160.0}]
    observed.stops = [{"entry": "entry-1", "began": 100.5, "ended": 100.8, "exit": 0}]
    observed.keys = [KEY]
    return observed


# Edits of the valid observations; VIOLATING_EDITS names the guarantee that each violates.

def wrong_span(observed):
    observed.batches[0]["samples"][0]["spans"][0]["version"] = 2


def missing_span(observed):
    observed.batches[2]["samples"][0]["spans"] = []


def span_short_of_text(observed):
    observed.batches[2]["samples"][1]["spans"][0]["last"] = 2


def swap_missing_from_spans(observed):
    observed.engines[0]["attempts"][1]["spans"] = [{"version": 1, "tokens": 2}, {"version": 2, "tokens": 2}]
    observed.engines[0]["attempts"][2]["spans"] = [{"version": 1, "tokens": 2}, {"version": 2, "tokens": 2}]


def sample_too_stale(observed):
    observed.versions.append({"version": 4, "began": 201.2, "ended": 201.3})


def slot_delivered_twice(observed):
    observed.batches[2]["samples"].append(sample(0, 0))


def slot_left_out(observed):
    for taken in observed.batches[:2]:
        taken["samples"].pop()


def repeat_differs(observed):
    observed.batches[1]["samples"][0]["score"] = 1


def ran_without_key(observed):
    observed.services[0]["calls"].append(service_call("mk-nobody-1-3"))


def key_in_head(observed):
    observed.engines[0]["attempts"][0]["head"] += f"\r\nCookie: key={KEY}"


def key_in_query(observed):
    observed.services[0]["calls"][0]["uri"] += "?api_key=" + KEY


def withdrawn_key_works(observed):
    observed.requests[0].update(key_id="k9", began=110.0, ended=111.0)


def withdrawn_stream_goes_on(observed):
    observed.requests[0].update(key_id="k9", began=99.0, ended=109.0)


def stale_engine_order(observed):
    observed.engines[0]["orders"].append({"fencing_number": 3, "model": "model", "order_id": "late"})


def stale_platform_order(observed):
    observed.orders.append({"fencing_number": 1, "failure_domain": "a"})


def second_report_differs(observed):
    observed.usage["reports"].append(usage_report(digest="d2"))


def same_digest_different_figures(observed):
    observed.usage["reports"].append(usage_report(late={"6": []}))


def stale_usage_report(observed):
    observed.usage["reports"].append(usage_report(fencing_number=1))


def response_of_other_prompt(observed):
    observed.requests[0]["text"] = chain("[mk-bach-1-7] Quote.", 9, 4)


def response_truncated(observed):
    observed.requests[0]["text"] = chain(observed.requests[0]["prompt"], 9, 3)


def response_repeats_tokens(observed):
    observed.requests[0]["text"] = observed.requests[0]["text"][:13] * 2


def echo_of_other_request(observed):
    observed.requests[1]["echo"] = '{"marker": "another"}'


def refused_request_ran(observed):
    observed.requests[1].update(outcome="refused", status=503, not_run=True)


def ran_twice(observed):
    observed.services[0]["calls"].append(service_call("mk-bach-1-2"))


def work_while_leaving(observed):
    observed.services[0]["calls"].append(service_call("mk-bach-1-9", received_at_ms=155000))


def stop_breaks_request(observed):
    observed.requests[0].update(entry="entry-1", outcome="broken", status=0, text=None)


def stop_exit_code_nonzero(observed):
    observed.stops[0]["exit"] = -9


def stop_too_slow(observed):
    observed.stops[0]["ended"] = 150.0


def configuration_reverts(observed):
    observed.readings.append({**observed.readings[0], "began": 131.0, "ended": 131.1})


def configuration_late(observed):
    observed.readings[1].update(revision=4, value="silver")


def change_lost(observed):
    observed.readings[1]["value"] = "silver"


def labels_ignored(observed):
    observed.requests.append(request("mk-gate-1-5", account="gate", began=140.0, ended=140.1))


def configuration_late_under_faults(observed):
    observed.readings[1].update(revision=4, value="silver")
    observed.faults = [{"names": ["kv_outage"], "began": 119.0, "ended": 121.0}]


def charged_twice(observed):
    observed.usage["windows"].append(usage_report(window=8))


def usage_lost(observed):
    observed.usage["windows"][0]["figures"]["rows"][0].update(generated_tokens=2)


def request_lost(observed):
    observed.usage["windows"][0]["figures"]["rows"][1].update(requests=0)


VIOLATING_EDITS = {
    checker.spans_match_engine_logs: (wrong_span, missing_span, span_short_of_text, swap_missing_from_spans),
    checker.staleness_within_bound: (sample_too_stale,),
    checker.slots_delivered_once: (slot_delivered_twice, slot_left_out, repeat_differs),
    checker.requests_run_if_permitted: (ran_without_key,),
    checker.keys_hidden_from_targets: (key_in_head, key_in_query),
    checker.withdrawn_keys_stop_working: (withdrawn_key_works, withdrawn_stream_goes_on),
    checker.fencing_numbers_never_decrease: (stale_engine_order, stale_platform_order),
    checker.usage_windows_consistent: (second_report_differs, same_digest_different_figures, stale_usage_report),
    checker.responses_complete_and_own: (response_of_other_prompt, response_truncated, response_repeats_tokens, echo_of_other_request),
    checker.not_run_refusals_never_ran: (refused_request_ran,),
    checker.non_idempotent_runs_once: (ran_twice,),
    checker.no_work_for_leaving_targets: (work_while_leaving,),
    checker.planned_stops_break_nothing: (stop_breaks_request, stop_exit_code_nonzero, stop_too_slow),
    checker.configuration_in_force: (configuration_reverts, configuration_late, configuration_late_under_faults, change_lost),
    checker.access_follows_labels: (labels_ignored,),
    checker.usage_matches_work: (charged_twice, usage_lost, request_lost),
}


class EditedObservations(unittest.TestCase):
    def test_valid_observations_have_no_violation(self):
        self.assertEqual([str(violation) for violation in checker.check(valid_observations())], [])

    def test_each_guarantee_has_violating_edits(self):
        self.assertEqual(set(VIOLATING_EDITS), set(checker.GUARANTEES))

    def test_each_violation_is_reported(self):
        for guarantee, edits in VIOLATING_EDITS.items():
            for edit in edits:
                with self.subTest(guarantee=guarantee.__name__, edit=edit.__name__):
                    observed = copy.deepcopy(valid_observations())
                    edit(observed)
                    self.assertTrue(list(guarantee(observed)))

    def test_spans_of_a_resumed_sample_match_its_attempts(self):
        observed = valid_observations()
        observed.batches = [batch(0, 200.0)]
        for one in observed.batches[0]["samples"]:
            one["spans"] = [{"version": 1, "first": 0, "last": 1}, {"version": 2, "first": 2, "last": 3}]
        prompt = "run quotes step 0 group 0 : draft"
        # The first attempt generated one token more than arrived.
        observed.engines[0]["attempts"] = [attempt(prompt, 3, outcome="crashed"), attempt(prompt, 2, version=2, first_token=2)]
        self.assertEqual(list(checker.spans_match_engine_logs(observed)), [])
        observed.engines[0]["attempts"].pop()
        self.assertTrue(list(checker.spans_match_engine_logs(observed)))


class FaultyStandins(KitTest):
    """Callers call targets directly, so that no daemon hides a target's fault from them."""

    def observe(self, targets, kind, count, **faults):
        observed = Observations()
        fleet = types.SimpleNamespace(daemons={t.name: types.SimpleNamespace(callers=t.url) for t in targets})
        caller = Caller(fleet, observed, 1)
        for target in targets:
            target.faults(**faults)
        for _ in range(count):
            caller.send(caller.make_request("bach", kind, key=KEY, key_id="k1"))
        observed.keys = [KEY]
        if kind == "engine":
            observed.engines = [target.log() for target in targets]
        else:
            observed.services = [target.log() for target in targets]
        return {violation.guarantee for violation in checker.check(observed)}

    def test_correct_engine_violates_only_the_key_guarantee(self):
        self.assertEqual(self.observe(self.kit.engines(1), "engine", 3), {"keys_hidden_from_targets"})

    def test_a_cleanly_truncated_response_is_reported(self):
        engines = self.kit.engines(1, shortest=40)
        violated = self.observe(engines, "engine", 6, truncate_cleanly=6)
        self.assertIn("responses_complete_and_own", violated)

    def test_a_key_that_reaches_a_service_is_reported(self):
        self.assertEqual(self.observe(self.kit.services(1), "service", 2), {"keys_hidden_from_targets"})


if __name__ == "__main__":
    unittest.main()
