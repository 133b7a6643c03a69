"""Shared base of the tests of the data path: a fleet, streams on all its entries, and checks of them."""

import concurrent.futures

from fleet import Fleet
from kit import KitTest, call, stream_completion, wait_until

RESPONSE_TIMEOUT_S = 15


class ServingCase(KitTest):
    def start(self, **options):
        self.fleet = Fleet(self.kit, **options).set_up()
        self.entries = self.fleet.callers()
        return self.fleet

    def stream(self, prompt, entry=0, account="mawr", tokens=40):
        return stream_completion(self.entries[entry % len(self.entries)], prompt, headers=self.fleet.auth(account), max_tokens=tokens,
                        timeout=RESPONSE_TIMEOUT_S)

    def complete_prompt(self, prompt, entry=0, account="mawr", tokens=8):
        body = {"model": "model", "prompt": prompt, "max_tokens": tokens}
        return call("POST", self.entries[entry % len(self.entries)] + "/v1/completions", body, headers=self.fleet.auth(account))

    def streams(self, count, while_running):
        """Starts streams on all entries, calls while_running and returns the results of the streams."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            futures = [pool.submit(self.stream, f"stream {i} of the test, told at length", i) for i in range(count)]
            while_running()
            return [future.result() for future in futures]

    def check_complete(self, streams):
        for text, chunks, done in streams:
            self.assertTrue(done, text)
            self.assertEqual(chunks[-1]["usage"]["completion_tokens"], sum(chunk.get("token_count", 0) for chunk in chunks))

    def running_attempts(self, engine):
        return [attempt for attempt in engine.log()["attempts"] if attempt["outcome"] == "running"]

    def busiest_engine(self):
        wait_until(lambda: any(len(self.running_attempts(engine)) > 1 for engine in self.fleet.engines), "more than one stream on an engine")
        return max(self.fleet.engines, key=lambda engine: len(self.running_attempts(engine)))
