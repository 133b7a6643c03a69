"""A machine is stopped as planned while a long stream runs there; clients go on using the channels that they keep."""

import http.client
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from world import BOUNDS, HOST, Service, disruption_wanted, engine_service, quiet, route, run_case  # noqa: E402

EVENTS, EVENT_INTERVAL_S = 100, 0.1  # a stream takes 10 s
STREAM_DEADLINE_MS = 12000
CLIENTS = 24  # each keeps a channel and sends a booking on it once a while
WORK_S = 0.6  # of a booking
DEADLINE_MS = 2000
FIRST_SENT_S, LAST_SENT_S = 6.0, 7.6  # after the SIGTERM; the channels were idle for less than four fifths of idleTimeoutMs
EXCUSED_IF_SENT_S = 3.0  # "on a request that was sent no later than 3 s after the SIGTERM"
PLANNED_WORK_S = BOUNDS["graceS"] + 1.0


class BookingService(Service):
    """A replica of a plain service that notes which requests it has got and which it has answered."""

    def __init__(self, *args, **more):
        self.bookings = {}  # by attempt: (arrived, answered)
        super().__init__(*args, **more)

    def handle(self, request):
        attempt = request.headers.get("Attempt-Id", "")
        if request.route.startswith("/book/") and request.headers.get("Target-Instance") in (None, self.name):
            self.bookings[attempt] = (time.monotonic(), None)
            time.sleep(WORK_S)
            super().handle(request)
            self.bookings[attempt] = (self.bookings[attempt][0], time.monotonic())
        else:
            super().handle(request)


class Booking:
    """One request of a client on its kept channel, and what the client saw."""

    def __init__(self, channel, attempt):
        self.attempt, self.sent, self.status, self.failure, self.closes = attempt, None, None, None, False
        try:
            channel.request("POST", "/book/drum", attempt.encode(), {"Host": HOST, "Credential": "key-one", "Deadline-Ms": str(DEADLINE_MS), "Attempt-Id": attempt})
            self.sent = time.monotonic()
            answer = channel.getresponse()
            answer.read()
            self.status, self.closes = answer.status, answer.will_close
        except (OSError, http.client.HTTPException) as problem:
            self.failure = type(problem).__name__
        self.ended = time.monotonic()


def case(world):
    world.put_config([route("book", "/book/", "unsafe", "app", timeoutMs=DEADLINE_MS), route("talk", "/talk/", "streaming", "models", streaming=True, timeoutMs=STREAM_DEADLINE_MS)],
                     [engine_service(["m"]), {"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
                     [{"name": "acme", "apiKeys": ["key-one"], "priority": 1}])
    services = []
    for zone in ("zone-a", "zone-b", "zone-c"):
        world.engine(zone, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        services += [quiet(BookingService(world, f"i-{len(world.replicas) + i}", "app", zone)) for i in range(3)]
        world.replicas += services[-3:]
    world.start()
    edge = world.edges[0]

    # Step 1. Clients have used their channels, and one asks for a stream.
    channels = [http.client.HTTPConnection(*edge.front.split(":"), timeout=5) for _ in range(CLIENTS)]
    first = []
    clients = [threading.Thread(target=lambda index=index: first.append(Booking(channels[index], f"first{index:02}"))) for index in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if any(booking.status != 200 for booking in first):
        raise RuntimeError("a booking was not served before the stop")

    def read_stream():
        channel = http.client.HTTPConnection(*edge.front.split(":"), timeout=STREAM_DEADLINE_MS / 1000 + 1)
        try:
            channel.request("POST", "/talk/s", b"prompt", {"Host": HOST, "Credential": "key-one", "Deadline-Ms": str(STREAM_DEADLINE_MS), "Attempt-Id": "stream", "Model": "m",
                                                           "Token-Count": "255,100", "Prompt-Prefix": "ab:255"})
            world.note(f"the stream ended as complete, {channel.getresponse().read().count(b'data:')} of {EVENTS} events")
        except (OSError, http.client.HTTPException) as problem:
            world.note(f"the stream broke off: {type(problem).__name__}")

    reader = threading.Thread(target=read_stream)
    reader.start()
    time.sleep(0.3)

    # Step 2. The machine is stopped as planned.
    stopped = time.monotonic()
    if disruption_wanted():
        world.note("SIGTERM for " + edge.name)
        edge.signal(signal.SIGTERM)

        def watch_exit():
            edge.process.wait()
            world.note(f"{edge.name} has ended, {time.monotonic() - stopped:.2f} s after the SIGTERM")

        threading.Thread(target=watch_exit, daemon=True).start()

    # Step 3. The clients send on their channels.
    bookings = []

    def book(index):
        time.sleep(max(0.0, stopped + FIRST_SENT_S + (LAST_SENT_S - FIRST_SENT_S) * index / CLIENTS - time.monotonic()))
        bookings.append(Booking(channels[index], f"late{index:02}"))

    clients = [threading.Thread(target=book, args=(index,)) for index in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in [*clients, reader]:
        client.join()
    time.sleep(WORK_S)

    # Step 4. The record, and the rule.
    reached = {attempt: times for service in services for attempt, times in service.bookings.items()}
    broken = []
    for booking in sorted(bookings, key=lambda one: one.attempt):
        arrived = reached.get(booking.attempt, (None, None))[0]
        world.note(f"{booking.attempt}: " + (f"sent {booking.sent - stopped:.2f} s after the SIGTERM, " if booking.sent else "not sent, ")
                   + (f"at a replica {arrived - booking.sent:.2f} s later, " if arrived else "at no replica, ")
                   + (f"status {booking.status}{', closes' if booking.closes else ''}" if booking.status else f"{booking.failure} {booking.ended - (booking.sent or booking.ended):.2f} s later"))
        if booking.sent is None or arrived is None or booking.status is not None or booking.sent <= stopped + EXCUSED_IF_SENT_S:
            continue
        if booking.ended <= stopped + PLANNED_WORK_S and booking.ended < booking.sent + DEADLINE_MS / 1000:
            broken.append(f"LOST: {booking.attempt} was read and passed on to a replica, and its channel ended without an answer {booking.ended - booking.sent:.2f} s after it was sent")
    return broken


run_case(case, FOLDER / "record.txt")
