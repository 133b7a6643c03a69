"""Checks the guarantees of the service against what was observed from outside.

Reads only Observations: what callers, trainers, stand-ins and operators saw, never
a daemon's log, metrics or other report about itself. There is one function for each
guarantee; it yields violations with their evidence.
"""

import collections
import dataclasses
import json
import re

import text_chain

MARKER = re.compile(r"mk-[a-z]+-\d+-\d+")
SLOT_PROMPT = re.compile(r"run (\S+) step (\d+) group (\d+) ")


@dataclasses.dataclass
class Violation:
    guarantee: str
    description: str
    evidence: object

    def __str__(self):
        return f"{self.guarantee}: {self.description}: {json.dumps(self.evidence, default=str)[:600]}"


def marker_of(*texts):
    for text in texts:
        found = MARKER.search(text)
        if found:
            return found[0]
    return None


def attempts_by_marker(observed):
    """Engine attempts and service calls that ran, grouped by the caller's marker."""
    attempts = collections.defaultdict(list)
    for target, attempt in observed.attempts():
        if attempt["outcome"] != "refused":
            attempts[marker_of(attempt["prompt_start"])].append((target, attempt))
    for target, call in observed.calls():
        if call["ran"]:
            attempts[marker_of(call["uri"], call["body_start"])].append((target, call))
    attempts.pop(None, None)
    return attempts


def token_versions(spans):
    """The weight version of each token of a sample, from its spans; None if the spans have gaps or overlaps."""
    versions = []
    for span in spans:
        if span["first"] != len(versions) or span["last"] < span["first"]:
            return None
        versions += [span["version"]] * (span["last"] - span["first"] + 1)
    return versions


def matches_attempts(expected, attempts, position=0, used=frozenset()):
    """Whether some sequence of recorded attempts, each resuming where the one before stopped, gives the expected
    version of each token; the last attempt must be used up to its last token."""
    for index, (first, recorded) in enumerate(attempts):
        if index in used or first != position:
            continue
        matching = 0
        while matching < len(recorded) and position + matching < len(expected) and recorded[matching] == expected[position + matching]:
            matching += 1
        if position + matching == len(expected) and matching == len(recorded):
            return True
        # An attempt whose stream was cut may have generated more tokens than arrived.
        starts = {first for first, _ in attempts}
        for length in range(matching, 0, -1):
            if position + length in starts and matches_attempts(expected, attempts, position + length, used | {index}):
                return True
    return False


def spans_match_engine_logs(observed):
    """The spans of every sample name the weight versions that generated it, as the engines recorded."""
    recorded = collections.defaultdict(list)
    for _, attempt in observed.attempts():
        slot = SLOT_PROMPT.match(attempt["prompt_start"])
        if not slot:
            continue
        versions = [span["version"] for span in attempt["spans"] for _ in range(span["tokens"])]
        recorded[slot[1], int(slot[2]), int(slot[3])].append((attempt["first_token"], versions))
    for run, sample in distinct_samples(observed):
        reported = token_versions(sample["spans"])
        evidence = {"slot": slot_name(run, sample), "spans": sample["spans"]}
        if not reported:
            yield "spans are missing, or have gaps or overlaps", evidence
            continue
        tokens = len(text_chain.TOKEN.findall(sample["text"]))
        if tokens != len(reported):
            yield f"spans name {len(reported)} tokens, the text has {tokens}", evidence
            continue
        attempts = recorded[run, sample["step"], sample["group"]]
        if not matches_attempts(reported, attempts):
            yield "no recorded engine attempts match these spans", {**evidence, "attempts": [
                (first, sorted(collections.Counter(versions).items())) for first, versions in attempts]}


def distinct_samples(observed):
    """(run, sample) pairs of all batches; a repeated batch counts only if it differs."""
    distinct_batches = collections.defaultdict(list)
    for batch in observed.batches:
        distinct = distinct_batches[batch["run"], batch["cursor"]]
        if batch["samples"] not in distinct:
            distinct.append(batch["samples"])
    return [(run, sample) for (run, _), lists in sorted(distinct_batches.items()) for samples in lists for sample in samples]


def slot_name(run, sample):
    return f"{run}/{sample['step']}/{sample['group']}/{sample['index']}"


def staleness_within_bound(observed):
    """No sample exceeds the staleness bound when it is delivered."""
    for batch in observed.batches:
        if batch["repeat"]:
            continue
        # The newest version whose publication was acknowledged before the trainer asked.
        published = max((v["version"] for v in observed.versions if v["ended"] and v["ended"] <= batch["began"]), default=0)
        for sample in batch["samples"]:
            oldest = min((span["version"] for span in sample["spans"]), default=0)
            if published - oldest > observed.bounds.staleness:
                yield f"generated by version {oldest}, delivered at version {published}", {
                    "slot": slot_name(batch["run"], sample), "spans": sample["spans"], "bound": observed.bounds.staleness}


def slots_delivered_once(observed):
    """Every sample is delivered exactly once, and a repeated pull of a batch returns the same batch."""
    first = {}
    batch_of_slot = {}
    for batch in observed.batches:
        key = (batch["run"], batch["cursor"])
        if key in first and first[key]["samples"] != batch["samples"]:
            yield "a repeated pull returned a different batch", {
                "cursor": key, "generations": (first[key]["generation"], batch["generation"])}
        first.setdefault(key, batch)
        for sample in batch["samples"]:
            name = slot_name(batch["run"], sample)
            if batch_of_slot.setdefault(name, key) != key:
                yield "a slot was delivered in two batches", {"slot": name, "cursors": (batch_of_slot[name], key)}
        names = [slot_name(batch["run"], sample) for sample in batch["samples"]]
        if len(set(names)) != len(names):
            yield "a slot was delivered twice in a batch", {"cursor": key}
    finished = max((cursor for _, cursor in first), default=-1)
    for step in observed.supplied:
        if step["step"] >= finished:
            continue
        for group in step["groups"]:
            for index in range(step["group_size"]):
                name = f"{step['run']}/{step['step']}/{group}/{index}"
                if name not in batch_of_slot:
                    yield "a slot was never delivered although later ones were", {"slot": name, "finished": finished}


def requests_run_if_permitted(observed):
    """Except on open routes, a request runs only if it carries the key of a client account that may use the route."""
    attempts_of = attempts_by_marker(observed)
    for request in observed.requests:
        if request["permitted"]:
            continue
        if request["marker"] in attempts_of or request["outcome"] == "ok":
            yield "a request ran without the key of an account that may use the route", {
                "request": request_summary(request), "ran_at": [target for target, _ in attempts_of[request["marker"]]] if request["marker"] in attempts_of else []}


def keys_hidden_from_targets(observed):
    """No caller's key reaches a target."""
    received_texts = [(target, attempt["number"], attempt["head"] + attempt["prompt_start"]) for target, attempt in observed.attempts()]
    received_texts += [(target, call["attempt"], call["head"] + call["uri"] + call["body_start"]) for target, call in observed.calls()]
    for target, number, text in received_texts:
        for key in observed.keys:
            if key in text:
                yield "a key reached a target", {"target": target, "attempt": number, "text": text.replace(key, "<the key>")}


def withdrawn_keys_stop_working(observed):
    """A withdrawn key stops working within the bound, also for streams that are in progress."""
    deadlines = {item["key_id"]: item["accepted"] + observed.bounds.withdrawal_s for item in observed.withdrawals}
    attempts_of = attempts_by_marker(observed)
    for request in observed.requests:
        deadline = deadlines.get(request["key_id"])
        if deadline is None:
            continue
        if request["began"] > deadline and (request["outcome"] == "ok" or request["marker"] in attempts_of):
            yield "a withdrawn key was still accepted", {"request": request_summary(request), "late_s": round(request["began"] - deadline, 3)}
        elif request["began"] <= deadline < request["ended"] and request["kind"] == "engine" and request["outcome"] == "ok":
            yield "a stream of a withdrawn key was not ended", {"request": request_summary(request), "late_s": round(request["ended"] - deadline, 3)}


def fencing_numbers_never_decrease(observed):
    """No target and no platform gets orders from a holder that was already replaced: fencing numbers never decrease."""
    peers = [(engine["target"], engine["orders"]) for engine in observed.engines] + [("platform", observed.orders)]
    for peer, orders in peers:
        newest = {}
        for order in orders:
            scope = order.get("failure_domain", "") if peer == "platform" else order.get("model", "")
            if order["fencing_number"] < newest.get(scope, 0):
                yield "an order with a stale fencing number after one with a newer number", {"peer": peer, "order": order, "newest": newest[scope]}
            newest[scope] = max(newest.get(scope, 0), order["fencing_number"])


def usage_windows_consistent(observed):
    """No usage window is reported with two different sets of figures, nor by a holder that was already replaced."""
    first = {}
    newest = collections.Counter()
    for report in observed.usage["reports"]:
        key = (report["account"], report["window"])
        content = (report["digest"], json.dumps([report["figures"], report["late"]], sort_keys=True))
        if first.setdefault(key, content) != content:
            yield "a window was reported with different figures", {"window": key, "digests": (first[key][0], content[0])}
        if report["fencing_number"] < newest[key]:
            yield "a report with a stale fencing number after one with a newer number", {"window": key, "number": report["fencing_number"], "newest": newest[key]}
        newest[key] = max(newest[key], report["fencing_number"])


def responses_complete_and_own(observed):
    """A caller gets the complete response to its own request."""
    for request in observed.requests:
        if request["outcome"] != "ok":
            continue
        if request["kind"] == "service":
            if request["echo"] != request["sent"]:
                yield "a service's response belongs to another request", {"request": request_summary(request), "echo": request["echo"]}
            continue
        tokens, length, error = text_chain.check_text(request["prompt"], request["text"])
        if error:
            yield "a response does not belong to its prompt: " + error, {"request": request_summary(request)}
        elif tokens != min(request["most_tokens"], length) or tokens == 0:
            yield f"a response marked as complete has {tokens} tokens of {min(request['most_tokens'], length)}", {"request": request_summary(request)}


def not_run_refusals_never_ran(observed):
    """A request refused as "not run" ran nowhere."""
    attempts_of = attempts_by_marker(observed)
    for request in observed.requests:
        if request["not_run"] and request["marker"] in attempts_of:
            yield "a request refused as not run did run", {"request": request_summary(request), "ran_at": [
                (target, attempt.get("outcome", "ran")) for target, attempt in attempts_of[request["marker"]]]}


def non_idempotent_runs_once(observed):
    """A non-idempotent request runs at most once."""
    attempts_of = attempts_by_marker(observed)
    for request in observed.requests:
        times = len(attempts_of.get(request["marker"], ()))
        if not request["idempotent"] and times > 1:
            yield f"a non-idempotent request ran {times} times", {"request": request_summary(request), "ran_at": [target for target, _ in attempts_of[request["marker"]]]}


def no_work_for_leaving_targets(observed):
    """A leaving target gets no new work after the bound."""
    deliveries = [(target, attempt["received_at_ms"], attempt["attempt"]) for target, attempt in observed.attempts() + observed.calls()]
    for item in observed.leaving:
        grace_end_ms = (item["began"] + observed.bounds.leaving_s) * 1000
        leaving_end_ms = item["ended"] * 1000
        for target, received_at_ms, attempt in deliveries:
            if target == item["target"] and grace_end_ms < received_at_ms < leaving_end_ms:
                yield "new work reached a leaving target", {"target": target, "attempt": attempt, "after_s": round(received_at_ms / 1000 - item["began"], 3)}


def planned_stops_break_nothing(observed):
    """Every planned stop is a graceful shutdown that breaks no request."""
    for stop in observed.stops:
        if stop["exit"] != 0:
            yield "a planned stop ended with a nonzero exit code", stop
        if stop["ended"] - stop["began"] > observed.bounds.stop_s:
            yield "a planned stop took too long", stop
        for request in observed.requests:
            within = request["began"] < stop["ended"] and request["ended"] > stop["began"] and request["entry"] == stop["entry"]
            if within and request["outcome"] == "broken":
                yield "a planned stop broke a request", {"stop": stop, "request": request_summary(request), "after_s": round(request["ended"] - stop["began"], 3)}


def configuration_in_force(observed):
    """An accepted configuration is in force on all daemons within the bound and never reverts."""
    def apply_deadline(change, until):
        # A watch that silently delivers nothing is noticed only at the next periodic read.
        disturbed = any(fault["began"] < until and fault["ended"] > change["began"] - observed.bounds.configuration_s
                        and any(name.startswith(("kv_", "lapse", "daemon_")) for name in fault["names"]) for fault in observed.faults)
        return observed.bounds.configuration_disturbed_s if disturbed else observed.bounds.configuration_s

    changes_by_label = {}
    for change in sorted((c for c in observed.accepted if c["accepted"]), key=lambda c: c["revision"]):
        changes_by_label.setdefault(change["label"], []).append(change)
    newest_revision = {}
    for reading in sorted(observed.readings, key=lambda r: r["ended"]):
        if reading["revision"] == 0:  # a starting daemon that has not read the configuration yet
            continue
        changes = changes_by_label.get(reading["label"], [])
        due = max((c["revision"] for c in changes if c["accepted"] + apply_deadline(c, reading["began"]) < reading["began"]), default=0)
        if reading["revision"] < due and reading["answered"]:
            yield "an accepted change is not in force", {"reading": reading, "due": due}
        key = (reading["entry"], reading["label"])
        if reading["answered"] and reading["revision"] < newest_revision.get(key, 0):
            yield "a daemon's configuration reverted", {"reading": reading, "before": newest_revision[key]}
        if reading["answered"]:
            newest_revision[key] = max(newest_revision.get(key, 0), reading["revision"])
        # The value must come from the newest change at or below the revision that was read.
        # A change whose answer was lost may be in force too, at an unknown revision.
        covered = [c for c in changes if c["revision"] <= reading["revision"]]
        is_unacknowledged_change = any(not c["accepted"] and c["label"] == reading["label"] and c["value"] == reading["value"] for c in observed.accepted)
        if reading["answered"] and covered and covered[-1]["value"] != reading["value"] and not is_unacknowledged_change:
            yield "an accepted change was lost", {"reading": reading, "accepted": covered[-1]}


def access_follows_labels(observed):
    """Callers are admitted or refused as the labels in force say."""
    changes = [c for c in observed.accepted if c["label"] == "tier"]
    for request in observed.requests:
        if request["account"] != "gate" or request["outcome"] not in ("ok", "refused"):
            continue
        if request["outcome"] == "refused" and request["reason"] != "account_not_allowed":
            continue
        # A change may take effect as soon as it is sent, and may still be in force on a daemon
        # until some seconds after the next change was accepted.
        possible_tiers = set()
        for change in changes:
            later = [c["accepted"] for c in changes if change["accepted"] and c["accepted"] and c["revision"] > change["revision"]]
            valid_until = min(later) + observed.bounds.configuration_disturbed_s if later else float("inf")
            if change["began"] <= request["ended"] and request["began"] <= valid_until:
                possible_tiers.add(change["value"])
        expected = "silver" if request["outcome"] == "ok" else "closed"
        if possible_tiers and expected not in possible_tiers:
            yield "a caller was admitted or refused by labels that were not in force", {"request": request_summary(request), "possible": sorted(possible_tiers)}


def usage_matches_work(observed):
    """Sealed usage matches what targets ran and callers received: nothing is charged twice, and the loss is within the bound."""
    charged = collections.Counter()
    requests = collections.Counter()
    for window in observed.usage["windows"]:
        rows = list(window["figures"].get("rows", []))
        rows += [row for late in (window["late"] or {}).values() for row in late]
        for row in rows:
            if row["charged"] and row["pool"] != "judges":
                charged[window["account"]] += row["generated_tokens"]
                requests[window["account"]] += row["requests"]
    attempts_of = attempts_by_marker(observed)
    ran = collections.Counter()
    generated = collections.Counter()
    received = collections.Counter()
    lost_allowance = collections.Counter()
    answered = collections.Counter()
    for request in observed.requests:
        account = request["account"]
        if request["marker"] not in attempts_of:
            continue
        ran[account] += 1
        attempts = [attempt for _, attempt in attempts_of[request["marker"]]]
        # However many attempts ran, a response is charged once, up to its last token.
        generated[account] += max(attempt.get("first_token", 0) + attempt.get("tokens", 0) for attempt in attempts)
        if request["outcome"] != "ok":
            continue
        tokens = len(text_chain.TOKEN.findall(request["text"] or ""))
        received[account] += tokens
        answered[account] += 1
        lost = any(kill["entry"] == request["entry"] and request["ended"] > kill["at"] - observed.bounds.usage_loss_s
                   and request["began"] < kill["at"] for kill in observed.kills)
        if lost:
            lost_allowance[account] += 1
            lost_allowance[account, "tokens"] += tokens
    for account in sorted(set(ran) & set(charged)):
        figures = {"account": account, "charged_tokens": charged[account], "generated": generated[account], "received": received[account],
                   "charged_requests": requests[account], "ran": ran[account], "excused": lost_allowance[account]}
        if charged[account] > generated[account]:
            yield "more tokens were charged than were generated, counting each once", figures
        if requests[account] > ran[account]:
            yield "more requests were charged than ran", figures
        if charged[account] < received[account] - lost_allowance[account, "tokens"]:
            yield "more received tokens are missing from usage than the bound allows", figures
        if requests[account] < answered[account] - lost_allowance[account]:
            yield "more answered requests are missing from usage than the bound allows", figures


def request_summary(request):
    fields = ("marker", "account", "kind", "method", "entry", "status", "outcome", "reason", "not_run")
    return {**{name: request[name] for name in fields}, "took_s": round(request["ended"] - request["began"], 3), "began": round(request["began"], 3)}


GUARANTEES = (
    spans_match_engine_logs,
    staleness_within_bound,
    slots_delivered_once,
    requests_run_if_permitted,
    keys_hidden_from_targets,
    withdrawn_keys_stop_working,
    fencing_numbers_never_decrease,
    usage_windows_consistent,
    responses_complete_and_own,
    not_run_refusals_never_ran,
    non_idempotent_runs_once,
    no_work_for_leaving_targets,
    planned_stops_break_nothing,
    configuration_in_force,
    access_follows_labels,
    usage_matches_work,
)


def check(observed):
    """All violations of all guarantees."""
    return [Violation(guarantee.__name__, description, evidence) for guarantee in GUARANTEES for description, evidence in guarantee(observed)]
