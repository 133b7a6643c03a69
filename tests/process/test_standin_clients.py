"""The client stand-ins (load client and trainer) detect faulty answers. They run against engine
stand-ins, and against small HTTP servers in this file that return faulty answers."""

import contextlib
import http.server
import io
import json
import threading
import unittest
import urllib.parse

from kit import Kit, KitTest, stream_completion, post, toml_text


class HttpServer:
    """An HTTP server that answers with handle(method, path, query, body) -> (status, headers, body bytes)."""

    def __init__(self, handle):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def respond(self):
                parts = urllib.parse.urlsplit(self.path)
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                status, headers, data = handle(self.command, parts.path, dict(urllib.parse.parse_qsl(parts.query)), body)
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = respond

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class LoadClient(KitTest):
    def setUp(self):
        super().setUp()
        self.engines = self.kit.engines(2, tokens_per_second=2000)
        self.urls = [engine.url for engine in self.engines]

    def run_load(self, urls=None, **flags):
        return self.kit.load(entries=urls or self.urls, **{"rate_per_second": 100, "duration_ms": 400, "direct": True, **flags})

    def test_valid_answers_of_each_kind(self):
        summary = self.run_load(stream_share=0.6, chat_share=0.5)
        self.assertGreater(summary["requests"], 20)
        self.assertEqual(summary["outcomes"]["ok"], summary["requests"])
        self.assertEqual(summary["tokens"], sum(attempt["tokens"] for engine in self.engines for attempt in engine.log()["attempts"]))
        self.assertLessEqual(summary["latency_ms"]["p50"], summary["latency_ms"]["p99"])
        self.assertLess(summary["first_token_ms"]["p50"], summary["latency_ms"]["p50"])
        short = self.run_load(max_tokens=5)
        self.assertEqual(short["outcomes"]["ok"], short["requests"])

    def test_arrivals_follow_the_seed(self):
        first, repeated, other = (self.run_load(seed=seed, lines=False) for seed in (1, 1, 2))
        self.assertEqual((first["requests"], first["tokens"]), (repeated["requests"], repeated["tokens"]))
        self.assertNotEqual(first["tokens"], other["tokens"])

    def test_engine_faults_are_classified(self):
        for fault, count, kind in (("refuse", 3, "refused"), ("truncate_cleanly", 3, "truncated"),
                                   ("truncate_streams", 3, "failed"), ("cross_answers", 2, "crossed")):
            self.engines[0].faults(**{fault: count})
            summary = self.run_load(self.urls[:1])
            self.assertEqual(summary["outcomes"][kind], count, (fault, summary))
            self.assertEqual(summary["outcomes"]["ok"], summary["requests"] - count)

    def test_refusals_by_reason_and_unreachable_entries(self):
        self.engines[0].faults(refuse=1000)
        summary = self.run_load(self.urls[:1], duration_ms=300)
        self.assertEqual(summary["reasons"], {"503 too many requests waiting": summary["requests"]})
        self.assertEqual(summary["not_run"], summary["requests"])
        self.engines[1].crash()
        summary = self.run_load(self.urls[1:], duration_ms=300)
        self.assertEqual(summary["outcomes"]["failed"], summary["requests"])

    def test_gaps_and_repeats_in_streams(self):
        def edited_stream(edit_tokens):
            def handle(_method, _path, _query, body):
                tokens = [" " + token for token in stream_completion(self.urls[0], json.loads(body)["prompt"])[0].split(" ")[1:]]
                chunks = [{"id": "x", "weight_version": 1, "choices": [{"index": 0, "text": text, "finish_reason": None}]} for text in edit_tokens(tokens)]
                chunks[-1]["choices"][0]["finish_reason"] = "stop"
                if edit_tokens(tokens)[-1] is None:
                    chunks[-1] = {"error": {"reason": "target_lost"}}
                events = "".join(f"data: {json.dumps(chunk)}\n\n" for chunk in chunks) + "data: [DONE]\n\n"
                return 200, {"Content-Type": "text/event-stream"}, events.encode()
            return handle
        for kind, edit_tokens in (("gap", lambda tokens: tokens[:3] + tokens[4:]),
                                  ("repeat", lambda tokens: tokens[:3] + tokens[2:]),
                                  ("truncated", lambda tokens: tokens[:-1]),
                                  ("failed", lambda tokens: [*tokens[:3], None]),
                                  ("ok", lambda tokens: tokens)):
            server = HttpServer(edited_stream(edit_tokens))
            summary = self.run_load([server.url], duration_ms=300, rate_per_second=40, direct=False)
            server.close()
            self.assertGreater(summary["requests"], 0)
            self.assertEqual(summary["outcomes"][kind], summary["requests"], (kind, summary))

    def test_plain_service_calls(self):
        service, = self.kit.services(1, "app")
        summary = self.run_load([service.url], path="/enquiries", duration_ms=400)
        self.assertEqual(summary["outcomes"]["ok"], summary["requests"])
        service.faults(cross_answers=2)
        self.assertEqual(self.run_load([service.url], path="/enquiries", seed=2, duration_ms=400)["outcomes"]["crossed"], 2)
        self.assertEqual(self.run_load([service.url], path="/enquiries", duration_ms=400)["outcomes"]["repeat"], summary["requests"])

    def test_keys_are_sent_and_counted(self):
        def handle(_method, _path, _query, _body):
            return 401, {}, json.dumps({"error": {"reason": "unknown_key", "outcome": "not_run"}}).encode()
        server = HttpServer(handle)
        summary = self.run_load([server.url], keys=["k1", "k2"], direct=False, duration_ms=400)
        server.close()
        self.assertEqual(summary["reasons"], {"401 unknown_key": summary["requests"]})
        self.assertEqual(summary["not_run"], summary["requests"])
        self.assertEqual([row["key"] for row in summary["by_key"]], [0, 1])


class FakeRun:
    """The trainer API of a run as docs/PROTOCOLS.md defines it; the texts of its samples come from an engine stand-in."""

    def __init__(self, engine, group_size):
        self.engine = engine
        self.group_size = group_size
        self.batches = []
        self.versions = []
        self.requested_cursors = []
        self.failures_left = 0
        self.edit_samples = lambda cursor, samples: samples
        self.generation = lambda cursor: 0
        self.lock = threading.Lock()
        self.server = HttpServer(self.handle)

    def handle(self, _method, path, query, body):
        with self.lock:
            if self.failures_left > 0:
                self.failures_left -= 1
                return 503, {}, b"{}"
            call = path.rsplit("/", 1)[-1]
            if call == "versions":
                self.versions.append(json.loads(body)["version"])
            elif call == "groups":
                self.supply(json.loads(body))
            elif call == "batches":
                return self.pull(int(query["cursor"]))
            return 200, {}, b"{}"

    def supply(self, body):
        for group in body["groups"]:
            text = stream_completion(self.engine.url, group["prompt"])[0]
            tokens = text.count(" ")
            self.batches.append([{
                "step": body["step"], "group": group["group"], "index": index, "attempt": str(index), "age": 0, "text": text,
                "spans": [[1, 0, 4], {"version": 2, "first": 5, "last": tokens - 1}]} for index in range(self.group_size)])

    def pull(self, cursor):
        """Returns the batch at the cursor; the first batch is 1."""
        self.requested_cursors.append(cursor)
        if cursor > len(self.batches):
            return 200, {}, json.dumps({"samples": [], "retry_after_ms": 30}).encode()
        samples = self.edit_samples(cursor, self.batches[cursor - 1])
        return 200, {}, json.dumps({"cursor": cursor, "generation": self.generation(cursor), "samples": samples}).encode()


class TrainerClient(KitTest):
    def setUp(self):
        super().setUp()
        engine, = self.kit.engines(1, tokens_per_second=5000)
        self.fake_run = FakeRun(engine, 3)
        self.addCleanup(self.fake_run.server.close)

    def run_trainer(self, entries=None, **flags):
        return self.kit.trainer(entries=entries or [self.fake_run.server.url], **{
            "steps": 2, "groups": 2, "group_size": 3, "train_ms": 50, "deadline_ms": 15000, **flags})

    def test_two_steps(self):
        samples, summary = self.run_trainer()
        self.assertTrue(summary["whole"])
        self.assertEqual(len(samples), 12)
        self.assertEqual(len({sample["slot"] for sample in samples}), 12)
        self.assertEqual(samples[0]["slot"], "run/1/0/0")
        self.assertEqual(self.fake_run.versions, [1, 2, 3])
        self.assertEqual(self.fake_run.requested_cursors[-1], 5)
        for name in ("duplicates", "without_spans", "broken_texts", "spans_unlike_text", "differing_repeats", "failovers"):
            self.assertEqual(summary[name], 0, name)
        self.assertGreaterEqual(summary["total_ms"], summary["idle_ms"])

    def test_failover_between_entries(self):
        self.fake_run.failures_left = 2
        _, summary = self.run_trainer(["http://127.0.0.1:9", self.fake_run.server.url])
        self.assertTrue(summary["whole"])
        self.assertGreaterEqual(summary["failovers"], 3)

    def test_duplicates_wrong_spans_and_texts_are_counted(self):
        def edit_samples(cursor, samples):
            if cursor == 2:
                return [*samples, samples[0]]
            if cursor == 3:
                return [{**samples[0], "text": samples[0]["text"] + " 0/9.00000000"}, {**samples[1], "spans": []}, samples[2]]
            return samples
        self.fake_run.edit_samples = edit_samples
        _, summary = self.run_trainer()
        self.assertEqual((summary["duplicates"], summary["broken_texts"], summary["without_spans"]), (1, 1, 1))
        self.assertEqual(summary["spans_unlike_text"], 2)

    def test_a_batch_that_differs_when_asked_again(self):
        pulls = []

        def edit_samples(cursor, samples):
            pulls.append(cursor)
            return [{**sample, "attempt": f"{len(pulls)}"} for sample in samples]
        self.fake_run.edit_samples = edit_samples
        _, summary = self.run_trainer(steps=6)
        self.assertGreater(summary["asked_again"], 0)
        self.assertEqual(summary["differing_repeats"], summary["asked_again"])

    def test_a_batch_of_a_newer_generation_replaces_the_first(self):
        served = {}

        def edit_samples(cursor, samples):
            served[cursor] = served.get(cursor, 0) + 1
            return [{**sample, "attempt": served[cursor]} for sample in samples]
        self.fake_run.edit_samples = edit_samples
        self.fake_run.generation = lambda cursor: served[cursor]
        samples, summary = self.run_trainer(steps=6)
        self.assertGreater(summary["made_again"], 0)
        self.assertEqual((summary["differing_repeats"], summary["duplicates"]), (0, 0))
        self.assertEqual([sample["attempt"] for sample in samples], [served[sample["cursor"]] for sample in samples])

    def test_gives_up_at_the_deadline(self):
        self.fake_run.group_size = 2
        _, summary = self.run_trainer(deadline_ms=1500)
        self.assertFalse(summary["whole"])


class KitSelfTest(KitTest):
    def test_programs_end_and_settings_are_toml(self):
        text = toml_text({"listen": {"callers": "127.0.0.1:1"}, "platform": {"key_value": ["http://a", "http://b"], "n": 3}})
        self.assertEqual(text, '[listen]\ncallers = "127.0.0.1:1"\n\n[platform]\nkey_value = ["http://a", "http://b"]\nn = 3\n')
        kv = self.kit.standin("kv")
        post(kv.control + "/faults", {"hang": True})
        kv.pause()
        self.kit.close()
        self.assertFalse(kv.running)
        failing_kit = Kit()
        failing_kit.standin("kv").allowed_exit_codes = {7}
        with contextlib.redirect_stdout(io.StringIO()), self.assertRaises(AssertionError):
            failing_kit.close()
        self.assertFalse(self.kit.folder.exists())

    def test_usage_text_and_a_port_that_is_taken(self):
        self.assertEqual(self.kit.run("lovage-standin", "--help").returncode, 0)
        self.assertNotEqual(self.kit.run("lovage-standin", "nothing").returncode, 0)
        kv = self.kit.standin("kv")
        self.assertEqual(self.kit.run("lovage-standin", "kv", f"--port={kv.port}").returncode, 1)


if __name__ == "__main__":
    unittest.main()
