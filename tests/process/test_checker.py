"""The checker must see each promise broken: a small right record, and one edited
record for each kind of violation. Where a stand-in's fault breaks a promise by
itself, when nothing stands between, the real stand-ins are used as well."""

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
    """A text as an engine makes it."""
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


def right():
    """A record without a violation."""
    seen = Observations()
    service = request("mk-bach-1-2", kind="service", idempotent=False, prompt=None, text=None, sent="{}", echo="{}")
    seen.requests = [request("mk-bach-1-1"), service,
                     request("mk-nobody-1-3", account="nobody", permitted=False, key_id=None, outcome="refused", status=401, not_run=True, text=None)]
    slots = [attempt(f"run quotes step {step} group 0 : draft", 4, 10 + 2 * step + index) for step in (0, 1) for index in (0, 1)]
    orders = [{"fencing_number": number, "model": "model", "order_id": str(number)} for number in (3, 3, 5)]
    seen.engines = [{"target": "engine-0", "attempts": [attempt("[mk-bach-1-1] Quote.", 4)] + slots, "orders": orders}]
    seen.services = [{"service": "service-0", "calls": [service_call("mk-bach-1-2")]}]
    seen.orders = [{"fencing_number": 1, "failure_domain": "a"}, {"fencing_number": 2, "failure_domain": "a"}]
    seen.batches = [batch(0, 200.0), batch(0, 200.5, repeat=True), batch(1, 202.0)]
    seen.supplied = [{"run": "quotes", "step": step, "groups": {0: ""}, "group_size": 2} for step in (0, 1)]
    seen.versions = [{"version": 1, "began": 199.0, "ended": 199.1}, {"version": 2, "began": 201.0, "ended": 201.1}]
    seen.usage = {"reports": [usage_report(), usage_report()], "windows": [usage_report()]}
    seen.withdrawals = [{"key_id": "k9", "account": "bach", "accepted": 100.0}]
    seen.accepted = [{"label": "tier", "value": "silver", "began": 100.0, "accepted": 100.1, "revision": 4},
                     {"label": "tier", "value": "closed", "began": 120.0, "accepted": 120.1, "revision": 5}]
    seen.readings = [{"entry": "entry-0", "label": "tier", "value": "silver", "revision": 4, "began": 110.0, "ended": 110.1, "answered": True},
                     {"entry": "entry-0", "label": "tier", "value": "closed", "revision": 5, "began": 130.0, "ended": 130.1, "answered": True}]
    seen.leaving = [{"target": "service-0", "began": 150.0, "ended": 160.0}]
    seen.stops = [{"entry": "entry-1", "began": 100.5, "ended": 100.8, "exit": 0}]
    seen.keys = [KEY]
    return seen


# Edits of the right record, by the promise that each breaks.

def wrong_span(seen):
    seen.batches[0]["samples"][0]["spans"][0]["version"] = 2


def missing_span(seen):
    seen.batches[2]["samples"][0]["spans"] = []


def span_short_of_text(seen):
    seen.batches[2]["samples"][1]["spans"][0]["last"] = 2


def swap_unnamed(seen):
    seen.engines[0]["attempts"][1]["spans"] = [{"version": 1, "tokens": 2}, {"version": 2, "tokens": 2}]
    seen.engines[0]["attempts"][2]["spans"] = [{"version": 1, "tokens": 2}, {"version": 2, "tokens": 2}]


def too_old(seen):
    seen.versions.append({"version": 4, "began": 201.2, "ended": 201.3})


def slot_twice(seen):
    seen.batches[2]["samples"].append(sample(0, 0))


def slot_left_out(seen):
    for taken in seen.batches[:2]:
        taken["samples"].pop()


def repeat_differs(seen):
    seen.batches[1]["samples"][0]["score"] = 1


def ran_without_key(seen):
    seen.services[0]["calls"].append(service_call("mk-nobody-1-3"))


def key_in_head(seen):
    seen.engines[0]["attempts"][0]["head"] += f"\r\nCookie: key={KEY}"


def key_in_query(seen):
    seen.services[0]["calls"][0]["uri"] += "?api_key=" + KEY


def withdrawn_key_works(seen):
    seen.requests[0].update(key_id="k9", began=110.0, ended=111.0)


def withdrawn_stream_goes_on(seen):
    seen.requests[0].update(key_id="k9", began=99.0, ended=109.0)


def two_order(seen):
    seen.engines[0]["orders"].append({"fencing_number": 3, "model": "model", "order_id": "late"})


def two_order_platform(seen):
    seen.orders.append({"fencing_number": 1, "failure_domain": "a"})


def second_figure(seen):
    seen.usage["reports"].append(usage_report(digest="d2"))


def same_digest_other_figure(seen):
    seen.usage["reports"].append(usage_report(late={"6": []}))


def two_report(seen):
    seen.usage["reports"].append(usage_report(fencing_number=1))


def other_answer(seen):
    seen.requests[0]["text"] = chain("[mk-bach-1-7] Quote.", 9, 4)


def answer_cut(seen):
    seen.requests[0]["text"] = chain(seen.requests[0]["prompt"], 9, 3)


def answer_repeats(seen):
    seen.requests[0]["text"] = seen.requests[0]["text"][:13] * 2


def other_echo(seen):
    seen.requests[1]["echo"] = '{"marker": "another"}'


def untrue_refusal(seen):
    seen.requests[1].update(outcome="refused", status=503, not_run=True)


def ran_twice(seen):
    seen.services[0]["calls"].append(service_call("mk-bach-1-2"))


def work_while_leaving(seen):
    seen.services[0]["calls"].append(service_call("mk-bach-1-9", received_at_ms=155000))


def stop_cuts(seen):
    seen.requests[0].update(entry="entry-1", outcome="broken", status=0, text=None)


def stop_fails(seen):
    seen.stops[0]["exit"] = -9


def stop_lasts(seen):
    seen.stops[0]["ended"] = 150.0


def configuration_reverts(seen):
    seen.readings.append({**seen.readings[0], "began": 131.0, "ended": 131.1})


def configuration_late(seen):
    seen.readings[1].update(revision=4, value="silver")


def change_lost(seen):
    seen.readings[1]["value"] = "silver"


def labels_ignored(seen):
    seen.requests.append(request("mk-gate-1-5", account="gate", began=140.0, ended=140.1))


def configuration_late_under_faults(seen):
    seen.readings[1].update(revision=4, value="silver")
    seen.faults = [{"names": ["kv_outage"], "began": 119.0, "ended": 121.0}]


def charged_twice(seen):
    seen.usage["windows"].append(usage_report(window=8))


def usage_lost(seen):
    seen.usage["windows"][0]["figures"]["rows"][0].update(generated_tokens=2)


def request_lost(seen):
    seen.usage["windows"][0]["figures"]["rows"][1].update(requests=0)


BROKEN_PROMISES = {
    checker.spans_are_true: (wrong_span, missing_span, span_short_of_text, swap_unnamed),
    checker.age_is_within_bound: (too_old,),
    checker.slots_come_once: (slot_twice, slot_left_out, repeat_differs),
    checker.runs_only_for_its_account: (ran_without_key,),
    checker.no_target_sees_a_key: (key_in_head, key_in_query),
    checker.withdrawn_keys_stop: (withdrawn_key_works, withdrawn_stream_goes_on),
    checker.one_process_in_charge: (two_order, two_order_platform),
    checker.windows_have_one_figure: (second_figure, same_digest_other_figure, two_report),
    checker.answers_are_whole_and_own: (other_answer, answer_cut, answer_repeats, other_echo),
    checker.refusals_are_true: (untrue_refusal,),
    checker.runs_at_most_once: (ran_twice,),
    checker.leaving_targets_get_nothing: (work_while_leaving,),
    checker.planned_stops_cut_nothing: (stop_cuts, stop_fails, stop_lasts),
    checker.configuration_holds: (configuration_reverts, configuration_late, configuration_late_under_faults, change_lost),
    checker.labels_decide: (labels_ignored,),
    checker.usage_is_honest: (charged_twice, usage_lost, request_lost),
}


class EditedRecords(unittest.TestCase):
    def test_a_right_record_has_no_violation(self):
        self.assertEqual([str(violation) for violation in checker.check(right())], [])

    def test_each_promise_has_records_that_break_it(self):
        self.assertEqual(set(BROKEN_PROMISES), set(checker.PROMISES))

    def test_each_broken_promise_is_reported(self):
        for promise, edits in BROKEN_PROMISES.items():
            for edit in edits:
                with self.subTest(promise=promise.__name__, edit=edit.__name__):
                    seen = copy.deepcopy(right())
                    edit(seen)
                    self.assertTrue(list(promise(seen)))

    def test_a_resumed_sample_is_made_of_its_attempts(self):
        seen = right()
        seen.batches = [batch(0, 200.0)]
        for one in seen.batches[0]["samples"]:
            one["spans"] = [{"version": 1, "first": 0, "last": 1}, {"version": 2, "first": 2, "last": 3}]
        prompt = "run quotes step 0 group 0 : draft"
        # The first attempt made one token more than arrived.
        seen.engines[0]["attempts"] = [attempt(prompt, 3, outcome="crashed"), attempt(prompt, 2, version=2, first_token=2)]
        self.assertEqual(list(checker.spans_are_true(seen)), [])
        seen.engines[0]["attempts"].pop()
        self.assertTrue(list(checker.spans_are_true(seen)))


class MutatedStandins(KitTest):
    """Callers speak to targets directly, so that a fault of the target reaches them."""

    def observe(self, targets, kind, count, **faults):
        seen = Observations()
        fleet = types.SimpleNamespace(daemons={t.name: types.SimpleNamespace(callers=t.url) for t in targets})
        caller = Caller(fleet, seen, 1)
        for target in targets:
            target.faults(**faults)
        for _ in range(count):
            caller.send(caller.plan("bach", kind, key=KEY, key_id="k1"))
        seen.keys = [KEY]
        if kind == "engine":
            seen.engines = [target.log() for target in targets]
        else:
            seen.services = [target.log() for target in targets]
        return {violation.promise for violation in checker.check(seen)}

    def test_an_honest_engine_breaks_no_promise_but_that_of_the_key(self):
        self.assertEqual(self.observe(self.kit.engines(1), "engine", 3), {"no_target_sees_a_key"})

    def test_a_cleanly_cut_answer_is_reported(self):
        engines = self.kit.engines(1, shortest=40)
        seen = self.observe(engines, "engine", 6, truncate_cleanly=6)
        self.assertIn("answers_are_whole_and_own", seen)

    def test_a_key_that_reaches_a_service_is_reported(self):
        self.assertEqual(self.observe(self.kit.services(1), "service", 2), {"no_target_sees_a_key"})


if __name__ == "__main__":
    unittest.main()
