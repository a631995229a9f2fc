"""Stand-in of one backend server, an engine or a register, run as a separate process.

usage: backend.py NAME SERVICE PORT[,PORT...] LOG

Appends a JSON line for each run to LOG, which is kept when the process ends. Lines about requests name the port on which they came. POST /standin/faults
sets the probability of each fault: notRun, error, truncated, garbled, doubled, answerLost, silent (a second
before the answer), unframed (an answer with neither a length nor chunks), and the shapes of endless.py. A call
with the query `pad=N` gets an answer with N more bytes, one with `dribble=SHAPE` an answer in small pieces (dribble.py),
one with `take=SECONDS` an answer that needs so long, a stream with its events spread over that time.
A call whose target or body contains CRASH_MARKER ends the process when it begins to run, without an answer. Fault
dribbledReport: reports that never end, a byte now and then; slowCopies: orders for copies take a second; late: an answer that
takes SLOWDOWN times as long. POST /standin/limit sets the rate limit that answers name; null: none.
POST /standin/leaving sets the value by which each answer says that the server leaves; null: none does.
POST /standin/slots sets how many requests the server runs at a time.
POST /standin/pause has the server turn every request away and ask for a pause of so many seconds; null: no more.
"""

import hashlib
import http.client
import itertools
import json
import os
import pathlib
import random
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
sys.path[:0] = [str(ROOT / "platform" / "standins"), str(ROOT / "tools" / "lib")]
import wire  # noqa: E402
from soak import dribble, endless, http_standin  # noqa: E402
from system import request as send_request  # noqa: E402

SLOTS = {"engine": 16, "register": 6}
EVENTS_PER_RUN = 60
EVENT_INTERVAL_SECONDS = 0.012
PREFILL_SECONDS = 0.15
CALL_SECONDS = 0.03
SILENCE_SECONDS = 1
SLOWDOWN = 5
COPY_INTERVAL_SECONDS = 0.1
COPY_SECONDS = 0.05
SLOW_COPY_SECONDS = 1
COPY_LIFETIME_SECONDS = 5
MEMORY_TOKENS = 88000
PROMPT_TOKENS = 8000
CRASH_MARKER = "crash-the-server"
PROBE_PATHS = (wire.REPORT_PATH, wire.PROMPTS_PATH, wire.COPY_PATH)


def event_text(request, number):
    return f"id: {number}\ndata: {request}:{number}\n\n".encode()


def query_value(handler, name):
    values = urllib.parse.parse_qs(urllib.parse.urlsplit(handler.path).query).get(name)
    return values[0] if values else None


def whole_stream(request, last_event):
    """Returns all events after the last one: an answer of one event would look complete (seed 513)."""
    return b"".join(event_text(request, number) for number in range(last_event + 1, EVENTS_PER_RUN + 1))


class Backend:
    def __init__(self, name, service, log):
        self.name = name
        self.service = service
        self.log_file = open(log, "a", buffering=1)
        self.lock = threading.Lock()
        self.faults = {}
        self.rate_limit = None
        self.leaving = None
        self.pause = None
        self.slots = SLOTS[service]
        self.running = {}
        self.copies = {}
        self.answers = 0

    def log(self, event, **fields):
        line = self.log_line(event, **fields)
        with self.lock:
            self.log_file.write(line)

    def log_line(self, event, **fields):
        return json.dumps({"at": time.monotonic(), "server": self.name, "event": event, **fields}) + "\n"

    def has_fault(self, name):
        return random.random() < self.faults.get(name, 0)

    def serve(self, handler, body):
        if handler.path.startswith("/standin/"):
            return self.control(handler, json.loads(body))
        if handler.path.split("?")[0] in PROBE_PATHS or handler.path.startswith(wire.RELEASE_PREFIX):
            self.log("asked", connection=handler.connection_id)
            if self.pause is not None:
                return self.turn_away(handler, None)
        if handler.path == wire.REPORT_PATH:
            return self.report(handler)
        if handler.path == wire.PROMPTS_PATH:
            return handler.answer_json(200, wire.prompts(), self.state_headers())
        if handler.path == wire.COPY_PATH:
            return self.copy_running_request(handler, body)
        if handler.path.startswith(wire.RELEASE_PREFIX):
            self.log("released", handle=handler.path.removeprefix(wire.RELEASE_PREFIX), port=handler.port)
            return handler.answer(200, b"", self.state_headers())
        return self.admit(handler, body)

    def control(self, handler, fields):
        if handler.path == "/standin/faults":
            self.faults = fields
        elif handler.path == "/standin/limit":
            self.rate_limit = fields["limit"]
            self.log("limit", limit=self.rate_limit)
        elif handler.path == "/standin/leaving":
            self.leaving = fields["value"]
            self.log("leaving", value=self.leaving)
        elif handler.path == "/standin/pause":
            self.pause = fields["pause"]
        elif handler.path == "/standin/slots":
            self.slots = fields["slots"]
        else:
            self.copies[fields["copy"]] = (fields["events"], time.monotonic())
        handler.answer(200)

    def copy_running_request(self, handler, body):
        """Copies the events that a run has produced to another server, under a handle chosen by this server."""
        request, address = wire.parse_copy_request(body)
        self.log("copyOrdered", request=request, to=address, port=handler.port)
        try:
            return self.make_copy(handler, request, address)
        finally:
            self.log("copyOrderEnded", request=request, port=handler.port)

    def make_copy(self, handler, request, address):
        with self.lock:
            events = self.running.get(request)
        if not events:
            return handler.answer_json(404, {}, self.state_headers())
        handle = f"h-{self.name}-{request}"
        time.sleep(SLOW_COPY_SECONDS if self.has_fault("slowCopies") else COPY_SECONDS)
        if not Copier(address, handle).send(events):
            return handler.answer_json(503, {}, self.state_headers())
        self.log("copied", request=request, to=address, handle=handle)
        return handler.answer_json(200, wire.copy_response(handle, events), self.state_headers())

    def report(self, handler):
        if self.has_fault("dribbledReport"):
            return dribble.send_endless_report(handler, handler.head(200, 100000, self.state_headers()))
        with self.lock:
            runs = [(request, PROMPT_TOKENS + events * 5, events)
                    for request, events in self.running.items() if events > 0]
            count = len(self.running)
        return handler.answer_json(200, wire.report(count, 0, runs, count * PROMPT_TOKENS, MEMORY_TOKENS),
                                   self.state_headers())

    def admit(self, handler, body):
        headers = handler.headers
        request = headers.get(wire.REQUEST_ID, "")
        target_server = headers.get(wire.SERVER)
        refusal_headers = {wire.SERVER_ID: self.name, wire.NOT_RUN: "1", wire.REQUEST_ID: request,
                           **self.state_headers()}
        if target_server and target_server != self.name:
            return handler.answer(421, b"", refusal_headers)
        self.log("arrived", request=request, connection=handler.connection_id, port=handler.port)
        if self.pause is not None:
            return self.turn_away(handler, request)
        with self.lock:
            is_full = len(self.running) >= self.slots
            is_admitted = not is_full and not self.has_fault("notRun")
            if is_admitted:
                self.running[request] = 0
        if not is_admitted:
            return handler.answer(503, b"", refusal_headers)
        try:
            (self.stream if self.service == "engine" else self.call)(handler, request, body)
        finally:
            with self.lock:
                self.running.pop(request, None)
            self.log("ended", request=request)
        return None

    def turn_away(self, handler, request):
        """Refuses a request, or a probe without a request, and asks for a pause."""
        pause = self.pause
        headers = {wire.SERVER_ID: self.name, wire.NOT_RUN: "1", wire.RETRY_AFTER: pause,
                   **self.state_headers()}
        if request is not None:
            headers[wire.REQUEST_ID] = request
        self.log("turnedAway", request=request, pause=pause, connection=handler.connection_id)
        return handler.answer(503, b"", headers)

    def crash(self, handler, request):
        """Ends the process and resets the connection of the request. The lock stays locked, so that a second request with
        the marker does not log a crash of the same process."""
        line = self.log_line("crashed", request=request)
        with self.lock:
            self.log_file.write(line)
            http_standin.reset(handler)
            os._exit(1)

    def log_run(self, handler, request, body, **fields):
        headers = handler.headers
        self.log("run", request=request, account=headers.get(wire.ACCOUNT),
                 hasKey=wire.KEY in headers, method=handler.command, path=handler.path,
                 body=hashlib.sha1(body).hexdigest(),
                 deadline=int(headers.get(wire.DEADLINE, 0)), **fields)

    def state_headers(self):
        """Returns the headers that every answer has: the rate limit, and whether the server leaves."""
        headers = {wire.RATE_LIMIT: self.rate_limit, wire.LEAVING: self.leaving}
        return {name: value for name, value in headers.items() if value is not None}

    def answer_headers(self, request):
        self.answers += 1
        with self.lock:
            load = f"{len(self.running)},0,{self.slots}"
        return {wire.REQUEST_ID: request, wire.SIGNATURE: f"{self.name}.{self.answers}",
                wire.LOAD: load, wire.SERVER_ID: self.name, **self.state_headers()}

    def slowdown(self, request):
        if not self.has_fault("late"):
            return 1
        self.log("bad", request=request)
        return SLOWDOWN

    def fail(self, handler, request, headers):
        self.log("bad", request=request)
        return handler.answer(500, b"failed", headers)

    def call(self, handler, request, body):
        self.log_run(handler, request, body)
        if CRASH_MARKER in handler.path or CRASH_MARKER.encode() in body:
            self.crash(handler, request)
        usual_seconds = SILENCE_SECONDS if self.has_fault("silent") else CALL_SECONDS * random.uniform(0.5, 2)
        time.sleep(float(query_value(handler, "take") or usual_seconds) * self.slowdown(request))
        headers = self.answer_headers(request)
        fields = {"request": request, "body": hashlib.sha1(body).hexdigest()}
        pad = query_value(handler, "pad")
        if pad:
            fields["pad"] = "x" * int(pad)
        answer = json.dumps(fields).encode()
        dribbled = query_value(handler, "dribble")
        if dribbled:
            return dribble.send_answer(handler, dribbled, headers, answer)
        shape = next(filter(self.has_fault, endless.SHAPES), None)
        if shape:
            return endless.send_endless_answer(handler, shape, headers, answer, answer)
        if self.has_fault("answerLost"):
            handler.close_connection = True
            return
        if self.has_fault("error"):
            return self.fail(handler, request, headers)
        if self.has_fault("unframed"):
            handler.close_connection = True
            handler.wfile.write(handler.unframed_head(200, headers) + answer)
            return
        response = handler.head(200, len(answer), headers) + answer
        if self.has_fault("truncated"):
            handler.wfile.write(response[:-5])
            handler.close_connection = True
        elif self.has_fault("garbled"):
            handler.wfile.write(b"\x00\xff not http\r\n\r\n")
            handler.close_connection = True
        elif self.has_fault("doubled"):
            handler.wfile.write(response + response)
        else:
            handler.wfile.write(response)

    def stream(self, handler, request, body):
        last_event = int(handler.headers.get(wire.LAST_EVENT, 0))
        slowdown = self.slowdown(request)
        copy_from = handler.headers.get(wire.COPY_FROM)
        if copy_from:
            events, copied_at = self.copies.pop(copy_from.rsplit("/", 1)[1], (None, 0))
            if events is None or time.monotonic() - copied_at > COPY_LIFETIME_SECONDS:
                return handler.answer(503, b"", {wire.NOT_RUN: "1", wire.REQUEST_ID: request,
                                                 **self.state_headers()})
            time.sleep(max(0, last_event - events) * EVENT_INTERVAL_SECONDS / 4)
        else:
            time.sleep(PREFILL_SECONDS * random.uniform(0.8, 2) * slowdown)
        self.log_run(handler, request, body, last=last_event, fromCopy=bool(copy_from),
                     copyTo=handler.headers.get(wire.COPY_TO))
        headers = self.answer_headers(request)
        if self.has_fault("error"):
            return self.fail(handler, request, headers)
        shape = next(filter(self.has_fault, endless.SHAPES), None)
        if shape:
            return endless.send_endless_answer(handler, shape,
                                               {"Content-Type": "text/event-stream", **headers},
                                               whole_stream(request, last_event),
                                               event_text(request, min(last_event + 1, EVENTS_PER_RUN)))
        head = handler.head(200, None, {"Content-Type": "text/event-stream", **headers})
        dribbled = query_value(handler, "dribble")
        if dribbled:
            numbers = itertools.count(last_event + 1)
            return dribble.send_stream(handler, dribbled, head,
                                       lambda: self.produce(request, next(numbers)))
        handler.wfile.write(head)
        copy_to = handler.headers.get(wire.COPY_TO)
        copier = Copier(copy_to, request) if copy_to else None
        take = query_value(handler, "take")
        interval = float(take) / EVENTS_PER_RUN if take else EVENT_INTERVAL_SECONDS * slowdown
        for number in range(last_event + 1, EVENTS_PER_RUN + 1):
            time.sleep(interval)
            handler.chunk(self.produce(request, number))
            if copier:
                copier.on_event(number)
        handler.wfile.write(b"0\r\n\r\n")
        return None

    def produce(self, request, number):
        """Returns the text of an event, which reports show from now on."""
        with self.lock:
            self.running[request] = number
        return event_text(request, number)


class Copier:
    """Reports to the server that holds the copy how many events the run has produced."""

    def __init__(self, address, copy):
        self.port = int(address.split(":")[1])
        self.copy = copy
        self.sent_at = 0

    def on_event(self, events):
        if time.monotonic() - self.sent_at < COPY_INTERVAL_SECONDS:
            return
        self.sent_at = time.monotonic()
        threading.Thread(target=self.send, args=(events,), daemon=True).start()

    def send(self, events):
        try:
            status, _ = send_request(self.port, "POST", "/standin/copy",
                                     {"copy": self.copy, "events": events}, timeout=1)
            return status == 200
        except (OSError, http.client.HTTPException):
            return False  # the soak also covers runs without a copy


def main():
    name, service, ports, log = sys.argv[1:5]
    backend = Backend(name, service, log)

    connections = itertools.count()

    class Handler(http_standin.Handler):
        def setup(self):
            super().setup()
            self.connection_id = f"{name}-{next(connections)}"
            self.port = self.server.server_address[1]

        def handle_request(self, body):
            backend.serve(self, body)

    servers = [http_standin.Server(("127.0.0.1", int(port)), Handler) for port in ports.split(",")]
    for server in servers[1:]:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    servers[0].serve_forever()


if __name__ == "__main__":
    main()
