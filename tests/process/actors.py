"""Simulated callers, a trainer and an operator, each a thread that records into Observations what it sees."""

import collections
import concurrent.futures
import http.client
import json
import random
import threading
import time
import urllib.parse

from kit import CONNECTION_ERRORS, call, post

CALL_TIMEOUT_S = 25
READ_CHUNK_BYTES = 65536
NOT_RUN_HEADER = "X-Not-Run"


class Actor(threading.Thread):
    """A thread that calls step() until it is told to stop."""

    def __init__(self):
        super().__init__(daemon=True)
        self._stop_requested = threading.Event()
        self.error = None

    def run(self):
        try:
            while not self._stop_requested.is_set():
                self.step()
        except Exception as error:  # pylint: disable=broad-except
            self.error = error  # finish() reports it
            raise

    def pause(self, seconds):
        self._stop_requested.wait(seconds)

    def stop(self):
        self._stop_requested.set()

    def finish(self, seconds=60):
        self.stop()
        self.join(seconds)
        if self.is_alive() or self.error:
            raise AssertionError(f"{type(self).__name__} failed or did not stop in time: {self.error}")


class Caller:
    """Sends requests that carry unique markers, and records each with its response."""

    def __init__(self, fleet, observed, seed):
        self.fleet = fleet
        self.observed = observed
        self.random = random.Random(seed)
        self._lock = threading.Lock()
        self._number = 0
        self._seed = seed

    def make_request(self, account, kind, method="POST", key=None, key_id=None, permitted=True, max_tokens=24, text="", key_location="header"):
        """Returns the record of a request that has not been sent yet."""
        with self._lock:
            self._number += 1
            marker = f"mk-{account}-{self._seed}-{self._number}"
            entry = self.random.choice(sorted(self.fleet.daemons))
            streamed = self.random.random() < 0.7
        return {"marker": marker, "account": account, "kind": kind, "method": method, "key": key, "key_id": key_id, "permitted": permitted,
                "idempotent": kind == "engine" or method == "GET", "entry": entry, "streamed": streamed, "where": key_location,
                "most_tokens": max_tokens, "prompt": f"[{marker}] {text}Quote lockshield valves. " if kind == "engine" else None,
                "status": 0, "outcome": "unreachable", "not_run": False, "reason": "", "text": None, "sent": None, "echo": None}

    def send(self, request):
        """Sends the request, reads the response and records both; returns the record."""
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
        except CONNECTION_ERRORS as error:
            request["reason"] = f"{type(error).__name__}: {error}"
            request["outcome"] = "broken" if request["reached"] else "unreachable"
        request["ended"] = time.time()
        # The record must not hold the secret key.
        request.pop("key")
        self.observed.requests.append(request)
        return request

    def _exchange(self, request, path, data, headers):
        address = urllib.parse.urlsplit(self.fleet.daemons[request["entry"]].callers)
        request["reached"] = False
        connection = http.client.HTTPConnection(address.hostname, address.port, timeout=CALL_TIMEOUT_S)
        try:
            connection.connect()
            request["reached"] = True
            connection.request(request["method"], path, data, headers)
            response = connection.getresponse()
            request["status"] = response.status
            body = b""
            while True:
                part = response.read1(READ_CHUNK_BYTES)
                if not part:
                    break
                body += part
            # http.client raises no error for a body shorter than its Content-Length.
            if response.length:
                raise http.client.IncompleteRead(b"", response.length)
            self._record_response(request, response, body.decode())
        finally:
            connection.close()

    def _record_response(self, request, response, text):
        if response.status != 200:
            self._record_refusal(request, response, text)
        elif request["kind"] == "service":
            request["outcome"] = "ok"
            request["echo"] = json.loads(text)["echo"]
        elif request["streamed"]:
            self._record_events(request, text)
        else:
            request["outcome"] = "ok"
            request["text"] = json.loads(text)["choices"][0]["text"]

    def _record_refusal(self, request, response, text):
        request["outcome"] = "refused"
        try:
            error = json.loads(text)["error"]
        except (ValueError, KeyError, TypeError):
            error = {}
        request["reason"] = error.get("reason", text[:80])
        request["not_run"] = error.get("outcome") == "not_run" or bool(response.headers.get(NOT_RUN_HEADER))

    def _record_events(self, request, text):
        payloads = [line[len("data: "):] for line in text.splitlines() if line.startswith("data: ")]
        chunks = [json.loads(payload) for payload in payloads if payload != "[DONE]"]
        request["text"] = "".join(chunk["choices"][0].get("text", "") for chunk in chunks if chunk.get("choices"))
        errors = [chunk["error"] for chunk in chunks if "error" in chunk]
        if errors:
            request["outcome"] = "failed"
            request["reason"] = str(errors[0].get("reason", errors[0]))
            request["not_run"] = errors[0].get("outcome") == "not_run"
            return
        # A stream that ends without the "[DONE]" marker was cut short.
        request["outcome"] = "ok" if "[DONE]" in payloads else "broken"
        request["reason"] = "" if "[DONE]" in payloads else "ended without an end marker"


class Traffic(Actor):
    """Sends requests at seeded random times (open loop: it does not wait for earlier responses)."""

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
        key_location = self.random.choice(("header",) * 8 + ("query", "cookie"))
        if account == "gate":
            kind, method = "service", "POST"
        request = self.caller.make_request(account, kind, method, key, key_id, key_location=key_location, max_tokens=self.random.choice((4, 24, 60)))
        if self.random.random() < 0.1:
            request = self._unauthorized_request()
        self._results.append(self._workers.submit(self.caller.send, request))

    def _unauthorized_request(self):
        """Returns a request without a key, with an invalid one, or with the key of an account that may not use the route."""
        key = self.random.choice((None, "lr_0123456789abcdef_wrong", self.keys["trainer"][1]))
        kind, method = self.random.choice((("engine", "POST"), ("service", "POST"), ("service", "GET")))
        return self.caller.make_request("nobody", kind, method, key, permitted=False)

    def finish(self, seconds=60):
        super().finish(seconds)
        for result in self._results:
            result.result(seconds)
        self._workers.shutdown()


class Trainer(Actor):
    """A trainer: supplies prompt groups, pulls batches (some twice) and publishes weight versions."""

    def __init__(self, fleet, observed, seed, key, run="quotes", groups=4, group_size=4, train_s=0.3):
        super().__init__()
        self.fleet = fleet
        self.observed = observed
        self.random = random.Random(seed)
        self.key = key
        self.run_name = run
        self.groups = groups
        self.group_size = group_size
        self.train_s = train_s
        self.cursor = 0
        self.next_step = 0
        self.version = 1
        self.version_published = False
        self.refusals = collections.Counter()  # counted by call, entry and reason

    def call_run(self, method, path, body=None):
        """Calls the run at a random entry; returns None unless the status was 200."""
        entry = self.random.choice(sorted(self.fleet.daemons))
        url = f"{self.fleet.daemons[entry].callers}/rollout/v1/runs/{self.run_name}{path}"
        try:
            response = call(method, url, body, {"Authorization": "Bearer " + self.key}, timeout=8)
            if response.status == 200:
                return response.json
            reason = response.json["error"]["message"]
        except (*CONNECTION_ERRORS, ValueError, KeyError) as error:
            reason = type(error).__name__
        self.refusals[f"{path.split('?')[0]} at {entry}: {reason}"] += 1
        return None

    def step(self):
        if not self.version_published:
            self._publish()
        elif self.next_step <= self.cursor + 1:
            self._supply()
        else:
            self._pull()

    def _publish(self):
        record = {"version": self.version, "began": time.time(), "ended": None}
        self.observed.versions.append(record)
        if self.call_run("POST", "/versions", {"version": self.version}) is None:
            self.pause(0.1)
            return
        record["ended"] = time.time()
        self.version_published = True

    def _supply(self):
        groups = {g: f"run {self.run_name} step {self.next_step} group {g} : draft a quotation.\n" for g in range(self.groups)}
        body = {"step": self.next_step, "groups": [{"group": g, "prompt": prompt, "max_tokens": 48} for g, prompt in groups.items()]}
        if self.call_run("POST", "/groups", body) is None:
            self.pause(0.1)
            return
        self.observed.supplied.append({"run": self.run_name, "step": self.next_step, "groups": groups, "group_size": self.group_size})
        self.next_step += 1

    def _pull(self, repeat=False):
        began = time.time()
        batch = self.call_run("GET", f"/batches?cursor={self.cursor}&wait_ms=500")
        if not batch or not batch.get("samples"):
            self.pause(0.05)
            return
        self.observed.batches.append({"run": self.run_name, "cursor": self.cursor, "began": began, "ended": time.time(), "repeat": repeat,
                                      "generation": batch.get("generation"), "samples": batch["samples"]})
        if not repeat and self.random.random() < 0.4:
            self._pull(repeat=True)
        if repeat:
            return
        self.pause(self.train_s)
        self.cursor += 1
        self.version += 1
        self.version_published = False


class Operator(Actor):
    """An operator: changes labels, and reads from the daemons which configuration is in force."""

    def __init__(self, fleet, observed, seed):
        super().__init__()
        self.fleet = fleet
        self.observed = observed
        self.random = random.Random(seed)
        self._number = 0
        self._next_change_at = 0

    def step(self):
        if time.time() > self._next_change_at:
            label, value = self.random.choice((("generation", None), ("tier", "silver"), ("tier", "closed")))
            self.change_label(label, value)
            self._next_change_at = time.time() + self.random.uniform(0.5, 2.5)
        self.read_labels(self.random.choice(sorted(self.fleet.daemons)))
        self.pause(0.1)

    def change_label(self, label, value=None, entry=None):
        """Makes one change with lovagectl; it counts as accepted only if the tool exits with 0."""
        self._number += 1
        value = value or str(self._number)
        record = {"label": label, "value": value, "began": time.time(), "accepted": None, "revision": None}
        self.observed.accepted.append(record)
        entry = entry or self.random.choice(sorted(self.fleet.daemons))
        done = self.fleet.ctl("-o", "json", "label", "client_account", "gate", f"{label}={value}", on=entry, check=False)
        if done.returncode == 0:
            record["revision"] = json.loads(done.stdout)["revision"]
            record["accepted"] = time.time()
        return record

    def read_labels(self, entry):
        began = time.time()
        url = self.fleet.daemons[entry].operators + "/v1/objects?kind=client_account&name=gate"
        try:
            response = call("GET", url, headers={"Authorization": "Bearer " + self.fleet.operator_key}, timeout=10)
            body = response.json
        except (*CONNECTION_ERRORS, ValueError):
            return
        if response.status != 200 or not body["objects"]:
            return
        labels = body["objects"][0]["object"]["labels"]
        for label in ("generation", "tier"):
            self.observed.readings.append({"entry": entry, "label": label, "value": labels.get(label), "revision": body["revision"],
                                           "began": began, "ended": time.time(), "answered": True})


def collect_standin_records(fleet, observed):
    """Copies the records of all stand-ins into the observations."""
    observed.engines = [engine.log() for engine in fleet.engines]
    observed.services = [service.log() for service in fleet.services]
    observed.orders = fleet.platform.log()["orders"]
    observed.usage = call("GET", fleet.platform.control + "/usage").json


def set_platform_state(fleet, **state):
    """Makes the platform report a target or instance in the given state."""
    post(fleet.platform.control + "/state", state)
