"""Reward calls on routes of each kind: only the status and the proof of their answers count."""

import unittest

from entry_world import EntryCase, config, route, submission
from kit import wait_until

MAX_ATTEMPTS = 3


class RewardRoutes(EntryCase):
    def start_with(self, kind, service):
        """Reward calls go to a route of this kind. Returns the instances and a submission."""
        entries = self.start_entries()
        changed = config(2)
        changed["routes"].append(route("part", "/judge/part/", kind, service, authExempt=True, maxAttempts=MAX_ATTEMPTS))
        self.platform.put_config(changed)
        for entry in entries:
            wait_until(lambda entry=entry: "step=in_force version=2" in entry.output(), f"{entry.name} has the new configuration")
        body = submission(2)
        for item in body["items"]:
            item["scoringUrl"]["path"] = "/judge/part/x"
        return entries, body

    def check_scores(self, kind, service, stamp):
        entries, body = self.start_with(kind, service)
        self.assertEqual(self.submit(entries[0], "batch", body).status, 202)
        results = self.wait_for_results(entries[1], "batch")
        self.assertEqual({result["id"]: (result["state"], result["score"]) for result in results},
                         {item["id"]: ("completed", stamp.format(item["scoringUrl"]["id"])) for item in body["items"]})
        self.assertEqual([entry.exit_code for entry in entries], [None, None])

    def test_a_reward_call_on_a_streaming_route_of_a_model_does_not_end_the_instance(self):
        self.check_scores("streaming", "pool", "stamp")

    def test_a_reward_call_on_a_streaming_route_of_a_plain_service_does_not_end_the_instance(self):
        self.check_scores("streaming", "shop", "stamp-{}")

    def test_a_reward_call_that_always_fails_is_given_up_on_a_route_of_single_runs(self):
        entries, body = self.start_with("unsafe", "shop")
        calls = []

        def fail(request):
            calls.append(request.headers["Attempt-Id"])
            request.respond(500, None, {"Attempt-Id": request.headers["Attempt-Id"]})

        for shop in self.shops:
            shop.handle = fail
        self.assertEqual(self.submit(entries[0], "batch", body).status, 202)
        results = self.wait_for_results(entries[1], "batch", 6)
        self.assertEqual([result["state"] for result in results], ["abandoned"] * len(body["items"]))
        for item in body["items"]:
            self.assertEqual(calls.count(item["scoringUrl"]["id"]), MAX_ATTEMPTS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
