"""Submissions whose texts would end the line of a request to a target and begin another request: refused, and none of it runs."""

import unittest

from entry_world import EntryCase, submission

TAIL = " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {0}\r\nContent-Length: 0\r\n\r\nPOST /steps/other HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: smuggled\r\nTenant: rival\r\nX-Rest: "


class SmuggledRequests(EntryCase):
    def spoiled(self, step):
        """Submissions with one such text each."""
        for place in range(4):
            body = submission(1, step=f"{step}{place}")
            item = body["items"][0]
            if place == 0:
                item["path"] += TAIL.format(item["id"])
            elif place == 1:
                item["scoringUrl"]["path"] += TAIL.format(item["scoringUrl"]["id"])
            elif place == 2:
                item["headers"]["X-Note"] = "a note\r\nTenant: rival"
            else:
                item["headers"]["X-Note: a\r\nTenant"] = "rival"
            yield f"bad{step}{place}", body

    def test_a_submission_cannot_smuggle_requests_or_headers_to_targets(self):
        entries = self.start_entries()
        for index, entry in enumerate(entries):
            for name, body in self.spoiled(index):
                response = self.submit(entry, name, body)
                self.assertEqual(response.status, 400, response)
                self.assertIn("error", response.json)
        self.assertEqual(self.submit(entries[0], "sound", submission(2, step=9)).status, 202)
        self.wait_for_results(entries[1], "sound")
        ran = [headers for replica in (*self.engines, *self.shops) for _, headers in replica.executed_requests]
        self.assertEqual({headers.get("Tenant") for headers in ran} - {None}, {"acme"})
        self.assertEqual({headers["Attempt-Id"] for headers in ran if "s9" not in headers["Attempt-Id"]}, set())
        self.assertEqual([entry.exit_code for entry in entries], [None, None])


if __name__ == "__main__":
    unittest.main(verbosity=2)
