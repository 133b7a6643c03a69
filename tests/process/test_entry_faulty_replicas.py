"""Answers that operators of similar systems saw go wrong: second copies, answers that break off,
slow and stalled streams, and what a restarted instance knows. Each fault is played by a replica
that misbehaves so."""

import socket
import struct
import threading
import time
import unittest

from entry_world import HOST, KEY, EntryCase, config
from faulty_replica import FaultyReplica
from kit import CONNECTION_ERRORS, Stream, wait_until


class FaultyReplicas(EntryCase):
    def start_with_faulty(self, fault, service="shop", **more):
        """All replicas of the service are faulty."""
        first, second = self.start_entries()
        for replica in self.shops if service == "shop" else self.engines:
            replica.state = "draining"
            replica.publish_heartbeat()
        self.faulty = FaultyReplica(self.platform, "i-faulty", service, "north", **more)
        self.platform.replicas.append(self.faulty)
        self.faulty.fault = fault
        path = "/plain/x" if service == "shop" else "/talk/x"
        if service == "shop":
            wait_until(lambda: (first.send_request(path, "warm"), self.faulty.executed_requests)[1], "the faulty replica is in use", 8)
        else:
            wait_until(lambda: "target=i-faulty" in first.output(), "the faulty replica is known", 8)
        return first, second

    # --- A second copy of an answer, late, on a connection in use again ---------------------------

    def check_own_answers(self, copy_of):
        def fault(request):
            answer = self.faulty.answer(request)
            request.wfile.write(answer)
            request.wfile.flush()
            copy_of(request, answer)

        first, _ = self.start_with_faulty(fault)
        answered = 0
        for number in range(40):
            body = f"body {number}".encode()
            response = first.send_request("/plain/x", f"c{number}", body=body)
            if response.status == 200:
                self.assertEqual((response.body, response.headers["Attempt-Id"]), (body, f"c{number}"))
                answered += 1
        self.assertGreater(answered, 20)

    @staticmethod
    def send_rest(connection, data):
        try:
            connection.send(data)
        except OSError:
            pass  # closed by the receiver, as it should be

    def test_a_late_second_copy_reaches_no_other_caller(self):
        def copy(request, answer):
            time.sleep(0.02)
            request.wfile.write(answer)

        self.check_own_answers(copy)

    def test_a_split_second_copy_reaches_no_other_caller(self):
        def copy(request, answer):
            request.wfile.write(answer[:30])
            request.wfile.flush()
            timer = threading.Timer(0.03, self.send_rest, (request.connection, answer[30:]))
            timer.daemon = True
            timer.start()

        self.check_own_answers(copy)

    # --- Answers that break off ---------------------------------------------------------------------

    def check_is_no_success(self, fault):
        first, _ = self.start_with_faulty(fault)
        for number in range(5):
            try:
                response = first.send_request("/plain/x", f"d{number}", body=b"0123456789")
            except CONNECTION_ERRORS:
                continue
            self.assertNotEqual(response.status, 200, response)

    def test_an_answer_shorter_than_its_length_is_no_success(self):
        def fault(request):
            request.wfile.write(self.faulty.head(request, "Content-Length: 20") + request.body)
            request.break_connection()

        self.check_is_no_success(fault)

    def test_chunks_without_their_end_are_no_success(self):
        def fault(request):
            request.wfile.write(self.faulty.head(request, "Transfer-Encoding: chunked") + b"a\r\n0123456789\r\n")
            request.break_connection()

        self.check_is_no_success(fault)

    def test_an_answer_without_length_that_is_reset_is_no_success(self):
        def fault(request):
            request.wfile.write(self.faulty.head(request, "Connection: close") + b"01234")
            request.wfile.flush()
            time.sleep(0.05)
            request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            request.break_connection()

        self.check_is_no_success(fault)

    def test_an_answer_without_length_that_ends_in_order_is_delivered(self):
        def fault(request):
            request.wfile.write(self.faulty.head(request, "Connection: close") + request.body)
            request.wfile.flush()
            request.connection.shutdown(socket.SHUT_RDWR)
            request.close_connection = True

        first, _ = self.start_with_faulty(fault)
        response = first.send_request("/plain/x", "e", body=b"0123456789")
        self.assertEqual((response.status, response.body), (200, b"0123456789"))

    # --- Slow but sound streams, and stalled ones that send a byte now and then ---------------------

    def event_ids(self, entry, deadline_ms):
        headers = {**HOST, **KEY, "Attempt-Id": f"s{deadline_ms}", "Deadline-Ms": str(deadline_ms), "Model": "m"}
        with Stream("POST", entry.callers + "/talk/x", b"p", headers) as stream:
            return [line for line in stream.lines() if line.startswith("id: ")]

    def test_a_slow_stream_is_not_cut(self):
        first, _ = self.start_with_faulty(None, "pool", models=["m"], events=4, event_interval_s=0.6)
        self.assertEqual(self.event_ids(first, 2990), [f"id: {number}" for number in range(1, 5)])
        self.assertEqual(len(self.faulty.executed_requests), 1)

    def test_a_stream_that_sends_bytes_but_no_events_is_resumed_elsewhere(self):
        stalled = threading.Event()

        def fault(request):
            if stalled.is_set():
                self.faulty._stream(request)
                return
            stalled.set()
            request.wfile.write(self.faulty.head(request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Weight-Versions: 1"))
            for data in [b"id: 1\ndata: e1\n\n", *[b"x"] * 100]:
                request.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                request.wfile.flush()
                time.sleep(0.1)

        first, _ = self.start_with_faulty(fault, "pool", models=["m"])
        self.assertEqual(self.event_ids(first, 2991), [f"id: {number}" for number in range(1, 6)])

    # --- A restart while the store is away ----------------------------------------------------------

    def test_a_restart_in_an_outage_brings_nothing_back(self):
        # The second instance has the state in force; the first one learns it from there, not from anything older.
        first, second = self.start_entries(keys=("key-one", "key-two"))
        gone = self.shops[0]
        time.sleep(1)
        self.platform.put_config(config(2))  # withdraws key-two
        self.platform.store.remove("servers/" + gone.name)
        withdrawn = {"Credential": "key-two"}
        wait_until(lambda: all(entry.send_request("/plain/x", "w", withdrawn).status == 401 for entry in (first, second)), "the key is withdrawn", 5)
        time.sleep(3)  # the drain bound is 2 s
        self.platform.store.refused_callers.add("all")
        first.kill()
        before = len(gone.executed_requests)
        first = self.entry(0)
        wait_until(first.is_ready, "it is ready in the outage", 8)
        for number in range(20):
            self.assertEqual(first.send_request("/plain/x", f"f{number}").status, 200)
            self.assertEqual(first.send_request("/plain/x", f"g{number}", withdrawn).status, 401)
        self.assertEqual(len(gone.executed_requests), before)


if __name__ == "__main__":
    unittest.main(verbosity=2)
