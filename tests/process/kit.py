"""Test kit of the process tests: starts and stops stand-ins and daemons, and calls them over HTTP.

Uses the standard library only. Programs come from $LOVAGERAIL_BIN (default: build/).
Everything listens on free loopback ports. A Kit always stops what it started, and
prints the tail of each log if the test failed.

    with Kit() as kit:
        kv = kit.standin("kv")
        engines = kit.engines(2, chunk_tokens=4)
        daemon = kit.daemon("one", {"instance": {...}, "listen": {...}, "platform": {...}})
"""

import base64
import ctypes
import fcntl
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("LOVAGERAIL_BIN", ROOT / "build")).resolve()

STARTUP_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15
START_ATTEMPTS = 5
CALL_TIMEOUT_S = 20
LOG_TAIL_BYTES = 6000  # printed of each program when a test fails
FAILED_TEST_LOGS_FOLDER = os.environ.get("LOVAGERAIL_KEPT_LOGS")  # receives the complete logs of failed tests
FIRST_TEST_PORT = 20000
END_OF_TEST_PORTS = 32000  # exclusive; below the ephemeral ports that the kernel gives to clients
PR_SET_PDEATHSIG = 1
EXPECTED_EXIT_CODES = {0, -signal.SIGTERM, -signal.SIGKILL}
READ_CHUNK_BYTES = 65536
# Exceptions that a call raises when its connection fails or breaks.
CONNECTION_ERRORS = (OSError, http.client.HTTPException)

PORTS_PER_BLOCK = 200
PORT_LOCKS = pathlib.Path(tempfile.gettempdir()) / "lovagerail-ports"
_reserved_ports = []  # all ports of the blocks that this process has locked
_next_port_index = 0  # index into _reserved_ports
_port_locks = []  # open lock files; closing one releases its block
_libc = ctypes.CDLL(None, use_errno=True)


def is_sanitized():
    """Whether the programs are built with a sanitizer, which adds memory and threads of its own."""
    program = (BIN / "lovage-standin").read_bytes()
    return b"__asan_init" in program or b"__tsan_init" in program


def _die_with_parent():
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve_port_block():
    """Locks a block of ports against other test processes of this machine until this process ends."""
    PORT_LOCKS.mkdir(exist_ok=True)
    for first in range(FIRST_TEST_PORT, END_OF_TEST_PORTS, PORTS_PER_BLOCK):
        lock = open(PORT_LOCKS / str(first), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _port_locks.append(lock)
        _reserved_ports.extend(range(first, first + PORTS_PER_BLOCK))
        return
    raise RuntimeError("other test processes have locked all port blocks")


def free_ports(count=1):
    """Returns the first of `count` consecutive ports that nobody listens on."""
    global _next_port_index
    while True:
        while _next_port_index + count <= len(_reserved_ports):
            candidates = _reserved_ports[_next_port_index:_next_port_index + count]
            _next_port_index += 1
            if candidates[-1] - candidates[0] == count - 1 and all(map(_is_free, candidates)):
                _next_port_index += count - 1
                return candidates[0]
        _reserve_port_block()


def b64(text):
    return base64.b64encode(text.encode() if isinstance(text, str) else text).decode()


def unb64(text):
    return base64.b64decode(text)


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return f"Answer({self.status}, {self.body[:300]!r})"


def _connect(url, timeout):
    parts = urllib.parse.urlsplit(url)
    target = parts.path + ("?" + parts.query if parts.query else "")
    return http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout), target or "/"


def _encode(body, headers):
    headers = dict(headers or {})
    if body is None or isinstance(body, bytes):
        return body, headers
    headers.setdefault("Content-Type", "application/json")
    return json.dumps(body).encode(), headers


def call(method, url, body=None, headers=None, timeout=CALL_TIMEOUT_S):
    """Makes one call on a new connection; raises one of CONNECTION_ERRORS if the connection fails."""
    connection, target = _connect(url, timeout)
    data, headers = _encode(body, headers)
    try:
        connection.request(method, target, data, headers)
        response = connection.getresponse()
        return Response(response.status, response.headers, response.read())
    finally:
        connection.close()


def get(url, **more):
    return call("GET", url, **more)


def post(url, body=None, **more):
    return call("POST", url, body if body is not None else {}, **more)


class Stream:
    """A streamed response, read as lines, JSON objects or server-sent events as they arrive."""

    def __init__(self, method, url, body=None, headers=None, timeout=CALL_TIMEOUT_S):
        self._connection, target = _connect(url, timeout)
        data, headers = _encode(body, headers)
        self._connection.request(method, target, data, headers)
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.headers = self._response.headers

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Closes the connection, also in the middle of the response."""
        self._response.close()
        self._connection.close()

    def lines(self):
        """Yields the lines; raises one of CONNECTION_ERRORS if the stream breaks before its end."""
        partial_line = b""
        while True:
            data = self._response.read1(READ_CHUNK_BYTES)
            if not data:
                break
            *complete_lines, partial_line = (partial_line + data).split(b"\n")
            for line in complete_lines:
                yield line.decode().rstrip("\r")
        if partial_line:
            yield partial_line.decode()

    def objects(self):
        """Yields the objects of a response with one JSON object per line, as a watch sends them."""
        return (json.loads(line) for line in self.lines() if line)

    def events(self):
        """Yields the decoded payloads of server-sent events; "[DONE]" is yielded as text."""
        for line in self.lines():
            if line.startswith("data: "):
                payload = line[len("data: "):]
                yield payload if payload == "[DONE]" else json.loads(payload)


def stream_completion(url, prompt, headers=None, timeout=CALL_TIMEOUT_S, **body):
    """Requests a streamed completion and reads it to its end: (text, chunks, whether the end marker arrived)."""
    body = {"model": "model", "prompt": prompt, "stream": True, **body}
    chunks = []
    done = False
    with Stream("POST", url + "/v1/completions", body, headers, timeout) as stream:
        if stream.status != 200:
            raise AssertionError(f"completion answered {stream.status}: {list(stream.lines())}")
        try:
            for event in stream.events():
                if event == "[DONE]":
                    done = True
                else:
                    chunks.append(event)
        except CONNECTION_ERRORS:
            pass
    return "".join(chunk["choices"][0]["text"] for chunk in chunks), chunks, done


def wait_until(check, what="condition", seconds=STARTUP_TIMEOUT_S, every=0.03):
    """Polls check() until its result is true and returns that result; connection errors count as false."""
    end = time.monotonic() + seconds
    last = None
    while time.monotonic() < end:
        try:
            last = check()
            if last:
                return last
        except (*CONNECTION_ERRORS, ValueError, KeyError) as problem:
            last = problem
        time.sleep(every)
    raise AssertionError(f"timed out after {seconds} s waiting for: {what}; last result: {last!r}")


class Program:
    """A running program whose output goes to a log file."""

    def __init__(self, kit, name, command):
        self.name = name
        self.allowed_exit_codes = None  # None allows any
        self.command = [str(part) for part in command]
        self.log_path = kit.folder / f"{name}.{len(kit.programs)}.log"
        # A session of its own: when a process group becomes orphaned, as at the end of the shell that
        # started the tests, the kernel sends SIGHUP to its stopped members, which a test may have paused.
        with open(self.log_path, "wb") as log:
            self._process = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT, start_new_session=True,
                                             stdin=subprocess.DEVNULL, preexec_fn=_die_with_parent)
        self.pid = self._process.pid
        kit.programs.append(self)

    @property
    def running(self):
        return self._process.poll() is None

    @property
    def exit_code(self):
        return self._process.poll()

    def output(self):
        return self.log_path.read_text(errors="replace")

    def signal(self, number):
        if self.running:
            os.kill(self.pid, number)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self):
        self.signal(signal.SIGTERM)

    def wait(self, seconds=STOP_TIMEOUT_S):
        return self._process.wait(seconds)

    def stop(self, seconds=STOP_TIMEOUT_S):
        """Sends SIGTERM and returns the exit code; kills the program if it does not end in time."""
        self.resume()
        self.terminate()
        return self.finish(seconds)

    def finish(self, seconds=STOP_TIMEOUT_S):
        """Waits for the program to end, kills it on timeout, and returns the exit code."""
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def status(self, field):
        """A number from /proc/<pid>/status, e.g. VmRSS (kB) or Threads."""
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        raise KeyError(field)


class ControlApi:
    """The control API that stand-ins serve below the URL `control`: faults, counters and a log of what they ran."""

    control = ""

    def faults(self, **faults):
        response = post(self.control + "/faults", faults)
        assert response.status == 200, response
        return response.json

    def clear(self):
        return self.faults(clear=True)

    def stats(self):
        return get(self.control + "/stats").json

    def log(self, after=0):
        return get(f"{self.control}/log?after={after}").json


class Standin(Program, ControlApi):
    """A stand-in process with one server, e.g. the key-value service or the platform."""

    def __init__(self, kit, kind, name, port, flags):
        self.kind = kind
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}"
        self.control = self.url + "/control"
        super().__init__(kit, name, [BIN / "lovage-standin", kind, *flags])
        self.allowed_exit_codes = EXPECTED_EXIT_CODES


class Target(ControlApi):
    """One engine or service of a stand-in process that hosts several."""

    def __init__(self, program, path, name, port, control_port):
        self.program = program
        self.name = name
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}"
        self.control = f"http://127.0.0.1:{control_port}/control/{path}/{name}"

    def crash(self):
        self.faults(crash=True)
        wait_until(lambda: self.stats()["down"], f"crash of {self.name}")

    def restart(self):
        self.faults(restart=True)
        wait_until(lambda: not self.stats()["down"], f"restart of {self.name}")


class Daemon(Program):
    """A lovageraild process; `callers` and `operators` are the URLs of its listeners."""

    def __init__(self, kit, name, config_path, sections):
        self.sections = sections
        listen = sections.get("listen", {})
        self.callers = "http://" + listen["callers"] if "callers" in listen else None
        self.operators = "http://" + listen["operators"] if "operators" in listen else None
        self.config_path = config_path
        super().__init__(kit, name, [BIN / "lovageraild", "--config", config_path])
        self.allowed_exit_codes = EXPECTED_EXIT_CODES


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{json.dumps(key)} = {toml_value(item)}" for key, item in value.items()) + " }"
    return json.dumps(str(value))


def toml_text(sections):
    lines = []
    for section, entries in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {toml_value(value)}" for key, value in entries.items()]
        lines.append("")
    return "\n".join(lines)


def flag_list(flags):
    """Converts keyword arguments to command-line flags: chunk_tokens=4 gives --chunk-tokens=4, True gives the bare flag."""
    arguments = []
    for key, value in flags.items():
        name = "--" + key.replace("_", "-")
        if value is True:
            arguments.append(name)
        elif value is not False and value is not None:
            arguments.append(f"{name}={json.dumps(value) if isinstance(value, (dict, list)) else value}")
    return arguments


class Kit:
    """Owns the programs of one test and a temporary folder for their settings and logs."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lovagerail-test-"))
        self.programs = []

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        self.close(failed=kind is not None)

    def close(self, failed=False):
        """Stops all programs, newest first, and prints their logs if the test failed.

        A server with an unexpected exit code (a crash, a sanitizer's finding, a
        leak) fails the test.
        """
        for program in reversed(self.programs):
            program.resume()
            program.terminate()
        for program in reversed(self.programs):
            program.finish()
        unexpected_exits = [program for program in self.programs if program.allowed_exit_codes and program.exit_code not in program.allowed_exit_codes]
        if failed or unexpected_exits:
            for program in self.programs:
                tail = program.output()[-LOG_TAIL_BYTES:]
                print(f"--- {program.name} (exit {program.exit_code}): {' '.join(program.command)[:200]}\n{tail}", flush=True)
            if FAILED_TEST_LOGS_FOLDER:
                shutil.copytree(self.folder, pathlib.Path(FAILED_TEST_LOGS_FOLDER) / self.folder.name)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.programs = []
        if unexpected_exits and not failed:
            raise AssertionError("programs with an unexpected exit code: " + ", ".join(f"{program.name} ({program.exit_code})" for program in unexpected_exits))

    def _wait_until_ready(self, program, url):
        def check():
            if not program.running:
                raise AssertionError(f"{program.name} ended with {program.exit_code}: {program.output()[-LOG_TAIL_BYTES:]}")
            return get(url).status == 200
        wait_until(check, f"start of {program.name}")
        return program

    def _start(self, make, url):
        """Starts a stand-in on a free port; retries with another port if a different process took it meanwhile."""
        for attempt in range(START_ATTEMPTS):
            program = make()
            try:
                return self._wait_until_ready(program, url(program))
            except AssertionError:
                program.allowed_exit_codes = None
                if attempt + 1 == START_ATTEMPTS or "can't listen" not in program.output():
                    raise

    def standin(self, kind, name=None, port=None, **flags):
        """Starts a stand-in server: kv, engine, service, judge, weights or platform."""
        if kind in ("engine", "service"):
            flags.setdefault("name", name or kind)

        def make():
            chosen_port = port or free_ports()
            return Standin(self, kind, name or kind, chosen_port, [f"--port={chosen_port}", *flag_list(flags)])
        return self._start(make, lambda program: program.control + "/stats")

    def _start_group(self, kind, path, count, name, flags):
        def make():
            base = free_ports(count + 1)
            return Standin(self, kind, kind, base, flag_list({
                "count": count, "base_port": base, "control_port": base + count, "name": name, **flags}))
        program = self._start(make, lambda started: f"http://127.0.0.1:{started.port + count}/control/stats")
        base = program.port
        names = [name] if kind == "service" and count == 1 else [f"{name}-{i}" for i in range(count)]
        return [Target(program, path, target_name, base + i, base + count) for i, target_name in enumerate(names)]

    def engines(self, count, name="engine", **flags):
        """Starts `count` engines in one process, named <name>-0, <name>-1 and so on."""
        return self._start_group("engines", "engines", count, name, flags)

    def services(self, count, name="service", **flags):
        return self._start_group("service", "services", count, name, flags)

    def settings(self, name, failure_domain, kv, platform, weights=None, **sections):
        """Returns settings for a daemon on free ports; `sections` override the defaults."""
        base = free_ports(3)
        settings = {
            "instance": {"name": name, "failure_domain": failure_domain},
            "listen": {kind: f"127.0.0.1:{base + i}" for i, kind in enumerate(("callers", "operators", "instances"))},
            "platform": {"key_value": [kv.url], "platform": platform.url},
        }
        if weights:
            settings["platform"]["weights"] = weights.url
        for section, entries in sections.items():
            settings[section] = {**settings.get(section, {}), **entries}
        return settings

    def daemon(self, name, sections, ready_path="/readyz", wait=True):
        """Starts lovageraild with settings given as {section: {key: value}}."""
        path = self.folder / f"{name}.toml"
        path.write_text(toml_text(sections))
        daemon = Daemon(self, name, path, sections)
        if wait and daemon.operators:
            self._wait_until_ready(daemon, daemon.operators + ready_path)
        return daemon

    def start_client(self, kind, **flags):
        """Starts a client stand-in (`load` or `trainer`) in the background."""
        if isinstance(flags.get("entries"), (list, tuple)):
            flags["entries"] = ",".join(flags["entries"])
        if isinstance(flags.get("keys"), (list, tuple)):
            flags["keys"] = ",".join(flags["keys"])
        return Program(self, kind, [BIN / "lovage-standin", kind, *flag_list(flags)])

    def load(self, seconds=60, **flags):
        """Runs the load client to completion and returns its summary."""
        client = self.start_client("load", **flags)
        client.wait(seconds)
        return json.loads(client.output().strip().splitlines()[-1])

    def trainer(self, seconds=90, **flags):
        """Runs a trainer client to completion: (samples, summary)."""
        client = self.start_client("trainer", **flags)
        client.wait(seconds)
        lines = [json.loads(line) for line in client.output().splitlines() if line.startswith("{")]
        return [line for line in lines if not line.get("summary")], lines[-1]

    def run(self, program, *arguments, seconds=60):
        """Runs one of the built programs to completion."""
        return subprocess.run([str(BIN / program), *map(str, arguments)], capture_output=True, text=True,
                              timeout=seconds, check=False)


class KitTest(unittest.TestCase):
    """A test case with its own Kit; the logs are printed if the test fails."""

    def setUp(self):
        self.kit = Kit()

    def tearDown(self):
        self.kit.close(failed=self._failed())

    def _failed(self):
        """Whether the test itself failed. unittest resets the outcome's success flag for tearDown, so the result is searched."""
        result = getattr(getattr(self, "_outcome", None), "result", None)
        found = [*getattr(result, "failures", []), *getattr(result, "errors", [])]
        return any(getattr(case, "test_case", case) is self for case, _ in found)
