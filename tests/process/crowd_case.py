"""Shared base of the test_crowd_*.py tests: clients that send much, or very little at a time, and keep what they
opened. Each test has one crowd and then checks that the process lives, that its memory and its descriptors stayed
within the smallest machine, and that an ordinary request is served while the crowd is still connected."""

import contextlib
import os
import resource
import socket
import threading

from entry_world import EntryCase
from kit import CONNECTION_ERRORS, is_sanitized, wait_until

MACHINE = {"memory_mb": 160, "descriptors": 4100}  # the smallest one that instances run on
MIB = 1 << 20
SEND_TIMEOUT_S = 30  # for one write; an instance that reads nothing for so long hangs
READ_TIMEOUT_S = 60  # for all that the kernel holds of a crowd
LISTENING = "0A"  # the state of a socket in /proc/net/tcp
HEAD_LINES = {"Host": "shop.example", "Credential": "key-one", "Deadline-Ms": "3000"}


def request_head(path, number, body_headers, method="POST", **more):
    lines = {**HEAD_LINES, "Attempt-Id": f"crowd{number}", **more, **body_headers}
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n").encode()


@contextlib.contextmanager
def open_files_limit(most):
    """Limits the open files of this process, and of the programs that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, before[1]), before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def chunks(size, chunk_size, block=64 * 1024):
    """Pieces of a chunked body of `size` bytes without its end."""
    chunk = b"%x\r\n" % chunk_size + b"x" * chunk_size + b"\r\n"
    per_block = max(1, block // chunk_size)
    for _ in range(size // (chunk_size * per_block)):
        yield chunk * per_block


class Client:
    """A connection that sends `pieces` until the other side closes, and then stays open."""

    def __init__(self, address, pieces):
        host, port = address.removeprefix("http://").split(":")
        self.address = (host, int(port))
        self.socket = socket.socket()
        self.socket.settimeout(SEND_TIMEOUT_S)
        self.pieces = pieces
        self.stalled = False  # nothing was read for SEND_TIMEOUT_S
        self.refused = False  # not connected, answered or closed before all was sent
        self.thread = threading.Thread(target=self._send, daemon=True)
        self.thread.start()

    def _send(self):
        try:
            self.socket.connect(self.address)
        except CONNECTION_ERRORS:
            self.refused = True
            return
        try:
            for piece in self.pieces:
                self.socket.sendall(piece)
        except TimeoutError:
            self.stalled = True
        except CONNECTION_ERRORS:
            self.refused = True

    def answer(self):
        """The status of the answer; 0 if the connection was closed without one."""
        self.thread.join()
        try:
            data = self.socket.recv(4096)
        except CONNECTION_ERRORS:
            return 0
        return int(data.split()[1]) if data.startswith(b"HTTP/1.1 ") else 0

    def close(self):
        self.socket.close()


def unread_bytes(address):
    """Bytes that wait in the kernel for the process that listens at the address."""
    port = int(address.rsplit(":", 1)[1])
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in list(table)[1:]]
    connected = [row for row in rows if row[1].endswith(f":{port:04X}") and row[3] != LISTENING]
    return sum(int(row[4].split(":")[1], 16) for row in connected)


class CrowdCase(EntryCase):
    machine = MACHINE

    def start(self, count=2, **more):
        entries = self.start_entries(count, **more)
        self.crowd = []
        self.addCleanup(lambda: [client.close() for client in self.crowd])
        return entries

    def send_crowd(self, address, bodies):
        """Connects a client for each of the piece lists and waits until all have sent what they send."""
        self.crowd += [Client(address, pieces) for pieces in bodies]
        for client in self.crowd:
            client.thread.join()
        self.assertFalse([client for client in self.crowd if client.stalled], "connections are read or closed")
        wait_until(lambda: unread_bytes(address) == 0, "all that was sent is read", READ_TIMEOUT_S)

    def check_bounds(self, *entries):
        for entry in entries:
            self.assertTrue(entry.running, f"{entry.name} lives")
            if not is_sanitized():
                self.assertLess(entry.status("VmHWM") * 1024, MACHINE["memory_mb"] * 1_000_000, f"peak memory of {entry.name}")
            self.assertLess(len(os.listdir(f"/proc/{entry.pid}/fd")), MACHINE["descriptors"])

    def check(self, *entries):
        """The checks that each of these tests makes. An ordinary caller may try again, as its pages allow."""
        self.check_bounds(*entries)
        for number, entry in enumerate(entries):
            response = wait_until(lambda: self.ordinary_request(entry, f"ordinary{number}"), "an ordinary request is served")
            self.assertEqual(response.body, b"hello")
        self.check_bounds(*entries)

    def ordinary_request(self, entry, name):
        response = entry.send_request("/plain/ordinary", name)
        return response if response.status == 200 else None
