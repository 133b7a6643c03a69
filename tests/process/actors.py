"""Callers, a trainer and an operator in threads, which write down what they see."""

import collections
import concurrent.futures
import http.client
import json
import random
import threading
import time
import urllib.parse

from kit import BROKEN, call, post

CALL_SECONDS = 25
READ_BYTES = 65536
NOT_RUN_HEADER = "X-Not-Run"


class Actor(threading.Thread):
    """A thread that repeats its step until it is told to stop."""

    def __init__(self):
        super().__init__(daemon=True)
        self._ending = threading.Event()
        self.problem = None

    def run(self):
        try:
            while not self._ending.is_set():
                self.step()
        except Exception as problem:  # pylint: disable=broad-except
            self.problem = problem  # the run reports it
            raise

    def pause(self, seconds):
        self._ending.wait(seconds)

    def stop(self):
        self._ending.set()

    def finish(self, seconds=60):
        self.stop()
        self.join(seconds)
        if self.is_alive() or self.problem:
            raise AssertionError(f"{type(self).__name__} didn't end well: {self.problem}")


class Caller:
    """Makes requests with markers, and records each with its answer."""

    def __init__(self, fleet, seen, seed):
        self.fleet = fleet
        self.seen = seen
        self.random = random.Random(seed)
        self._lock = threading.Lock()
        self._number = 0
        self._seed = seed

    def plan(self, account, kind, method="POST", key=None, key_id=None, permitted=True, most_tokens=24, text="", where="header"):
        """A request that isn't sent yet."""
        with self._lock:
            self._number += 1
            marker = f"mk-{account}-{self._seed}-{self._number}"
            entry = self.random.choice(sorted(self.fleet.daemons))
            streamed = self.random.random() < 0.7
        return {"marker": marker, "account": account, "kind": kind, "method": method, "key": key, "key_id": key_id, "permitted": permitted,
                "idempotent": kind == "engine" or method == "GET", "entry": entry, "streamed": streamed, "where": where,
                "most_tokens": most_tokens, "prompt": f"[{marker}] {text}Quote lockshield valves. " if kind == "engine" else None,
                "status": 0, "outcome": "unreachable", "not_run": False, "reason": "", "text": None, "sent": None, "echo": None}

    def send(self, request):
        """Sends it, reads the answer and records both; returns the record."""
        headers = {"Content-Type": "application/json"}
        query = ""
        if request["where"] == "query":
            query = "?api_key=" + urllib.parse.quote(request["key"])
        if request["where"] == "cookie":
            headers["Cookie"] = "key=" + request["key"]
        if request["key"]:
            headers["Authorization"] = "Bearer " + request["key"]
        if request["kind"] == "engine":
            path = "/v1/completions"
            body = {"model": "model", "prompt": request["prompt"], "max_tokens": request["most_tokens"], "stream": request["streamed"]}
        else:
            path = f"/stock/{request['marker']}"
            body = {"marker": request["marker"]}
        data = json.dumps(body) if request["method"] == "POST" else ""
        request["sent"] = data
        request["began"] = time.time()
        try:
            self._exchange(request, path + query, data, headers)
        except BROKEN as problem:
            request["reason"] = f"{type(problem).__name__}: {problem}"
            request["outcome"] = "broken" if request["reached"] else "unreachable"
        request["ended"] = time.time()
        # What the record keeps isn't the key itself.
        request.pop("key")
        self.seen.requests.append(request)
        return request

    def _exchange(self, request, path, data, headers):
        address = urllib.parse.urlsplit(self.fleet.daemons[request["entry"]].callers)
        request["reached"] = False
        connection = http.client.HTTPConnection(address.hostname, address.port, timeout=CALL_SECONDS)
        try:
            connection.connect()
            request["reached"] = True
            connection.request(request["method"], path, data, headers)
            answer = connection.getresponse()
            request["status"] = answer.status
            whole = b""
            while True:
                part = answer.read1(READ_BYTES)
                if not part:
                    break
                whole += part
            # http.client says nothing of an answer that is shorter than its length.
            if answer.length:
                raise http.client.IncompleteRead(b"", answer.length)
            self._judge(request, answer, whole.decode())
        finally:
            connection.close()

    def _judge(self, request, answer, text):
        if answer.status != 200:
            self._take_refusal(request, answer, text)
        elif request["kind"] == "service":
            request["outcome"] = "ok"
            request["echo"] = json.loads(text)["echo"]
        elif request["streamed"]:
            self._take_events(request, text)
        else:
            request["outcome"] = "ok"
            request["text"] = json.loads(text)["choices"][0]["text"]

    def _take_refusal(self, request, answer, text):
        request["outcome"] = "refused"
        try:
            fault = json.loads(text)["error"]
        except (ValueError, KeyError, TypeError):
            fault = {}
        request["reason"] = fault.get("reason", text[:80])
        request["not_run"] = fault.get("outcome") == "not_run" or bool(answer.headers.get(NOT_RUN_HEADER))

    def _take_events(self, request, text):
        payloads = [line[len("data: "):] for line in text.splitlines() if line.startswith("data: ")]
        chunks = [json.loads(payload) for payload in payloads if payload != "[DONE]"]
        request["text"] = "".join(chunk["choices"][0].get("text", "") for chunk in chunks if chunk.get("choices"))
        faults = [chunk["error"] for chunk in chunks if "error" in chunk]
        if faults:
            request["outcome"] = "failed"
            request["reason"] = str(faults[0].get("reason", faults[0]))
            request["not_run"] = faults[0].get("outcome") == "not_run"
            return
        # An end without a mark looks whole to nobody; it is a broken answer.
        request["outcome"] = "ok" if "[DONE]" in payloads else "broken"
        request["reason"] = "" if "[DONE]" in payloads else "ended without an end marker"


class Traffic(Actor):
    """Requests at seeded random times, whether or not earlier ones are answered."""

    def __init__(self, caller, accounts, rate):
        super().__init__()
        self.caller = caller
        self.accounts = accounts
        self.rate = rate
        self.random = random.Random(caller.random.random())
        self.keys = {}  # account: (id, raw)
        self._workers = concurrent.futures.ThreadPoolExecutor(200)
        self._results = []

    def step(self):
        self.pause(self.random.expovariate(self.rate))
        account = self.random.choice(self.accounts)
        key_id, key = self.keys[account]
        kind, method = self.random.choice((("engine", "POST"), ("engine", "POST"), ("service", "POST"), ("service", "POST"), ("service", "GET")))
        where = self.random.choice(("header",) * 8 + ("query", "cookie"))
        if account == "gate":
            kind, method = "service", "POST"
        plan = self.caller.plan(account, kind, method, key, key_id, where=where, most_tokens=self.random.choice((4, 24, 60)))
        if self.random.random() < 0.1:
            plan = self._forbidden()
        self._results.append(self._workers.submit(self.caller.send, plan))

    def _forbidden(self):
        """Without a key, with a wrong one, or with the key of an account that may not use the route."""
        key = self.random.choice((None, "lr_0123456789abcdef_wrong", self.keys["trainer"][1]))
        kind, method = self.random.choice((("engine", "POST"), ("service", "POST"), ("service", "GET")))
        return self.caller.plan("nobody", kind, method, key, permitted=False)

    def finish(self, seconds=60):
        super().finish(seconds)
        for result in self._results:
            result.result(seconds)
        self._workers.shutdown()


class Trainer(Actor):
    """Supplies groups, pulls batches, asks again now and then, publishes versions."""

    def __init__(self, fleet, seen, seed, key, run="quotes", groups=4, group_size=4, train_s=0.3):
        super().__init__()
        self.fleet = fleet
        self.seen = seen
        self.random = random.Random(seed)
        self.key = key
        self.run_name = run
        self.groups = groups
        self.group_size = group_size
        self.train_s = train_s
        self.current = 0
        self.supplied = 0
        self.version = 1
        self.published = False
        self.refusals = collections.Counter()  # by call and reason

    def ask(self, method, path, body=None):
        """One call at one of the entries; None unless it was answered with 200."""
        entry = self.random.choice(sorted(self.fleet.daemons))
        url = f"{self.fleet.daemons[entry].callers}/rollout/v1/runs/{self.run_name}{path}"
        try:
            answer = call(method, url, body, {"Authorization": "Bearer " + self.key}, timeout=8)
            if answer.status == 200:
                return answer.json
            reason = answer.json["error"]["message"]
        except (*BROKEN, ValueError, KeyError) as problem:
            reason = type(problem).__name__
        self.refusals[f"{path.split('?')[0]} at {entry}: {reason}"] += 1
        return None

    def step(self):
        if not self.published:
            self._publish()
        elif self.supplied <= self.current + 1:
            self._supply()
        else:
            self._pull()

    def _publish(self):
        record = {"version": self.version, "began": time.time(), "ended": None}
        self.seen.versions.append(record)
        if self.ask("POST", "/versions", {"version": self.version}) is None:
            self.pause(0.1)
            return
        record["ended"] = time.time()
        self.published = True

    def _supply(self):
        groups = {g: f"run {self.run_name} step {self.supplied} group {g} : draft a quotation.\n" for g in range(self.groups)}
        body = {"step": self.supplied, "groups": [{"group": g, "prompt": prompt, "max_tokens": 48} for g, prompt in groups.items()]}
        if self.ask("POST", "/groups", body) is None:
            self.pause(0.1)
            return
        self.seen.supplied.append({"run": self.run_name, "step": self.supplied, "groups": groups, "group_size": self.group_size})
        self.supplied += 1

    def _pull(self, repeat=False):
        began = time.time()
        batch = self.ask("GET", f"/batches?cursor={self.current}&wait_ms=500")
        if not batch or not batch.get("samples"):
            self.pause(0.05)
            return
        self.seen.batches.append({"run": self.run_name, "cursor": self.current, "began": began, "ended": time.time(), "repeat": repeat,
                                  "generation": batch.get("generation"), "samples": batch["samples"]})
        if not repeat and self.random.random() < 0.4:
            self._pull(repeat=True)
        if repeat:
            return
        self.pause(self.train_s)
        self.current += 1
        self.version += 1
        self.published = False


class Operator(Actor):
    """Changes labels, and reads at each daemon what is in force."""

    def __init__(self, fleet, seen, seed):
        super().__init__()
        self.fleet = fleet
        self.seen = seen
        self.random = random.Random(seed)
        self._number = 0
        self._changed = 0

    def step(self):
        if time.time() > self._changed:
            label, value = self.random.choice((("generation", None), ("tier", "silver"), ("tier", "closed")))
            self.change(label, value)
            self._changed = time.time() + self.random.uniform(0.5, 2.5)
        self.read(self.random.choice(sorted(self.fleet.daemons)))
        self.pause(0.1)

    def change(self, label, value=None, entry=None):
        """One change by the tool; it counts as accepted only if the tool says so."""
        self._number += 1
        value = value or str(self._number)
        record = {"label": label, "value": value, "began": time.time(), "accepted": None, "revision": None}
        self.seen.accepted.append(record)
        entry = entry or self.random.choice(sorted(self.fleet.daemons))
        done = self.fleet.ctl("-o", "json", "label", "client_account", "gate", f"{label}={value}", on=entry, check=False)
        if done.returncode == 0:
            record["revision"] = json.loads(done.stdout)["revision"]
            record["accepted"] = time.time()
        return record

    def read(self, entry):
        began = time.time()
        url = self.fleet.daemons[entry].operators + "/v1/objects?kind=client_account&name=gate"
        try:
            answer = call("GET", url, headers={"Authorization": "Bearer " + self.fleet.operator_key}, timeout=10)
            body = answer.json
        except (*BROKEN, ValueError):
            return
        if answer.status != 200 or not body["objects"]:
            return
        labels = body["objects"][0]["object"]["labels"]
        for label in ("generation", "tier"):
            self.seen.readings.append({"entry": entry, "label": label, "value": labels.get(label), "revision": body["revision"],
                                       "began": began, "ended": time.time(), "answered": True})


def collect(fleet, seen):
    """Fetches what the stand-ins recorded."""
    seen.engines = [engine.log() for engine in fleet.engines]
    seen.services = [service.log() for service in fleet.services]
    seen.orders = fleet.platform.log()["orders"]
    seen.usage = call("GET", fleet.platform.control + "/usage").json


def send_state(fleet, **state):
    """Has the platform say that a target or instance is in a state."""
    post(fleet.platform.control + "/state", state)
