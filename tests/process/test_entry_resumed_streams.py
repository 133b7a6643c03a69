"""Streams that break off and are resumed at a target that answers with something else: nothing of that answer is in
the stream, and the stream ends as complete only with all its events. Callers' streams, and texts of items."""

import collections
import itertools
import unittest

from entry_world import submission
from faulty_replica import FaultyReplica
from kit import wait_until
from unproven_case import EVENTS, UnprovenCase

STREAM = ("Content-Type: text/event-stream", "Weight-Versions: 1")
WHOLE = [line for number in range(1, EVENTS + 1) for line in (f"id: {number}", f"data: e{number}", "")]
SEEN = 2  # events of a stream when it breaks off
STREAMS = 72
FOREIGN = b"nothing of this belongs into a stream\n"


def chunked(*parts):
    return b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts)


def events(*rows):
    return "".join(f"id: {number}\ndata: {data}\n\n" for number, data in rows).encode()


def answer(status, *lines, body=FOREIGN):
    """A whole answer with a proof and a length."""
    def message(request):
        head = [f"HTTP/1.1 {status} Any", "Attempt-Id: " + request.headers["Attempt-Id"], "Server-Stamp: other", f"Content-Length: {len(body)}", *lines, "", ""]
        return "\r\n".join(head).encode() + body
    return message


def stream(*rows, raw=None):
    """A whole stream of these events."""
    return lambda request: FaultyReplica.head(None, request, "Transfer-Encoding: chunked", *STREAM) + chunked(raw or events(*rows)) + b"0\r\n\r\n"


ERRORS = [answer(status) for status in (302, 400, 404, 409, 429, 500, 501, 502, 503, 504)] + [
    answer(500, "Content-Type: text/event-stream", body=events((3, "e3"), (4, "e4"), (5, "e5"))),
    lambda request: answer(500)(request)[:40],  # breaks off within its head
    lambda request: answer(200, *STREAM)(request)[:60],
    lambda request: b"\x16\x03\x01 not HTTP\r\n\r\n" + FOREIGN,
]
OTHER_SUCCESSES = [
    answer(200, "Content-Type: text/html", "Weight-Versions: 1", body=b"<html>a proxy's page</html>"),
    answer(200, "Content-Type: text/plain", "Weight-Versions: 1", body=b"first line\n" + events((3, "x3"))),
    answer(201, *STREAM, body=events((3, "x3"))),
    lambda request: "\r\n".join(["HTTP/1.1 204 Any", "Attempt-Id: " + request.headers["Attempt-Id"], "Server-Stamp: other", *STREAM, "", ""]).encode(),
]
OTHER_EVENTS = [
    stream((4, "e4"), (5, "e5")),  # a gap
    stream((1, "x1"), (2, "x2"), (3, "x3"), (4, "x4"), (5, "x5")),  # another stream, from its beginning
    stream((3, "e3"), (5, "e5")),
    stream((3, "e3"), (3, "x3"), (4, "e4"), (5, "e5")),
    stream(("abc", "x3")),
    stream((2**70, "x3")),
    stream((-3, "x3")),
    stream(raw=b"data: x3\n\n"),
]


class ResumedStreams(UnprovenCase):
    def start_with_answers(self, answers):
        """Each request is begun and broken off, its rest is answered with one of these, and soundly after that."""
        kinds = itertools.cycle(answers)
        attempts = collections.Counter()
        self.given = 0

        def fault(request):
            number = attempts[request.headers["Attempt-Id"]]
            attempts[request.headers["Attempt-Id"]] += 1
            if number == 0:
                begun = events(*((number, f"e{number}") for number in range(1, SEEN + 1)))
                message = FaultyReplica.head(None, request, "Transfer-Encoding: chunked", *STREAM) + chunked(begun)
            elif number == 1:
                self.given += 1
                message = next(kinds)(request)
            else:
                message = stream(raw=self.faulty.text_events(request))(request)
            FaultyReplica.send_and_close(request, message)

        entries = self.start_with(fault, "pool", keep_sound=0)
        second = FaultyReplica(self.platform, "i-second", "pool", "south", models=["m"])
        self.platform.replicas.append(second)
        second.fault = fault
        for entry in entries:
            wait_until(lambda entry=entry: "target=i-second" in entry.output(), f"{entry.name} knows the second faulty replica", 8)
        return entries

    def check(self, answers):
        entries = self.start_with_answers(answers)
        complete = 0
        for lines, ended_as_complete in self.at_once(lambda number: self.read_stream(entries[number % 2], f"r{number}"), STREAMS, width=12):
            self.assertEqual(lines, WHOLE[:len(lines)])
            if ended_as_complete:
                self.assertEqual(lines, WHOLE)
                complete += 1
        self.assertGreaterEqual(self.given, len(answers), "each answer was given")
        self.assertGreater(complete, STREAMS / 2)
        for step in range(1, 4):
            self.assertEqual(self.submit(entries[step % 2], f"b{step}", submission(4, step=step)).status, 202)
        for step in range(1, 4):
            for result in self.wait_for_results(entries[step % 2], f"b{step}", 25):
                self.assertEqual((result["state"], result["text"]), ("completed", "\n".join(f"e{number}" for number in range(1, EVENTS + 1))), result)
        self.assertEqual([entry.exit_code for entry in entries], [None, None])

    def test_no_error_gets_into_a_resumed_stream(self):
        self.check(ERRORS)

    def test_no_success_that_is_no_stream_ends_a_resumed_stream(self):
        self.check(OTHER_SUCCESSES)

    def test_no_events_but_the_next_ones_get_into_a_resumed_stream(self):
        self.check(OTHER_EVENTS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
