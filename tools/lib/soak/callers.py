"""Callers of the soak: open-loop load on keep-alive connections; records the outcome of each attempt."""

import collections
import hashlib
import http.client
import json
import random
import threading
import time

import wire
from .backend import EVENTS_PER_RUN
from .limits import STOP_MARKS_SECONDS

Attempt = collections.namedtuple(
    "Attempt", "request kind gateway account key body path sent_at ended_at outcome status "
               "retry_after events reused gave_up leaving_server head_at")

KINDS = ["streams", "writes", "reads"]
# Fraction of the requests for each kind.
KIND_SHARES = [0.25, 0.5, 0.25]
METHODS = {"streams": "POST", "writes": "POST", "reads": "GET"}
TIMEOUT_MS = {"streams": 12000, "writes": 4000, "reads": 4000}
GIVE_UP_SHARE = 0.04
GIVE_UP_SECONDS = 0.5
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_IDLE_CONNECTIONS = 40
MAX_ACTIVE_REQUESTS = 160
MARK_CONNECTIONS = 4
MARK_SPREAD_SECONDS = 0.03


def wait_seconds(kind):
    """Returns how long a caller waits: a connection attempt that a stopping gateway ignores takes a second, and the time
    that the request names counts from its arrival."""
    return TIMEOUT_MS[kind] / 1000 + 1


class InvalidAnswer(Exception):
    """The answer is incomplete or belongs to another request."""


class Callers:
    def __init__(self, cluster, requests_per_second):
        self.cluster = cluster
        self.requests_per_second = requests_per_second
        self.random = random.Random(cluster.random.random())
        self.lock = threading.Lock()
        self.idle_connections = {gateway.name: [] for gateway in cluster.gateways}
        self.attempts = []
        self.invalid_answers = []
        self.skipped = 0
        self.mark_outcomes = collections.Counter()
        self.active_count = 0
        self.request_count = 0
        self.is_stopping = False
        self.thread = threading.Thread(target=self._generate_load, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        """Stops sending and waits for open requests."""
        self.is_stopping = True
        self.thread.join()
        deadline = time.monotonic() + max(TIMEOUT_MS.values()) / 1000 + 5
        while self.active_count and time.monotonic() < deadline:
            time.sleep(0.05)
        if self.active_count:
            self.invalid_answers.append({"rule": "answered", "open": self.active_count})

    def send_at_stop_marks(self, gateway):
        """Keeps connections to a gateway and sends a request on each around the times at which a planned stop
        that begins now closes something. Returns when the connections are kept."""
        kept = [connection for connection in (self._keep_connection(gateway) for _ in range(
            MARK_CONNECTIONS * len(STOP_MARKS_SECONDS))) if connection]
        started_at = time.monotonic()
        source = random.Random(started_at)
        for number, connection in enumerate(kept):
            mark = STOP_MARKS_SECONDS[number % len(STOP_MARKS_SECONDS)]
            at = started_at + mark + source.uniform(-MARK_SPREAD_SECONDS, MARK_SPREAD_SECONDS)
            with self.lock:
                self.active_count += 1
            threading.Thread(target=self._send_at, args=(at, gateway, connection), daemon=True).start()

    def _keep_connection(self, gateway):
        """Opens a connection by a read; None when the gateway does not keep it."""
        connection = http.client.HTTPConnection("127.0.0.1", gateway.caller_port, timeout=wait_seconds("reads"))
        self._send_attempt("reads", (gateway, connection))
        with self.lock:
            idle = self.idle_connections[gateway.name]
            if connection in idle:
                idle.remove(connection)
                return connection
        return None

    def _send_at(self, at, gateway, connection):
        try:
            time.sleep(max(0, at - time.monotonic()))
            attempt = self._send_attempt("writes", (gateway, connection))
            with self.lock:
                self.mark_outcomes[attempt.outcome] += 1
        finally:
            with self.lock:
                self.active_count -= 1

    def _generate_load(self):
        while not self.is_stopping:
            time.sleep(self.random.expovariate(self.requests_per_second))
            if self.active_count >= MAX_ACTIVE_REQUESTS:
                self.skipped += 1
                continue
            kind = self.random.choices(KINDS, KIND_SHARES)[0]
            with self.lock:
                self.active_count += 1
            threading.Thread(target=self._run_request, args=(kind,), daemon=True).start()

    def _run_request(self, kind):
        try:
            attempt = self._send_attempt(kind)
            may_retry = attempt.status in NOT_RUN_STATUSES or (
                attempt.outcome == "broken" and kind == "reads")
            if may_retry:
                time.sleep(min(attempt.retry_after or 0.05, 1))
                self._send_attempt(kind)
        finally:
            with self.lock:
                self.active_count -= 1

    def _send_attempt(self, kind, kept=None):
        """Sends a request, on the kept connection (a gateway and its connection) if one is given."""
        with self.lock:
            self.request_count += 1
            number = self.request_count
            account = self.random.choice(sorted(self.cluster.accounts))
            keys = sorted(self.cluster.accounts[account])
            key = self.random.choice(keys)
            gives_up = kind == "streams" and self.random.random() < GIVE_UP_SHARE
            gateway = kept[0] if kept else self.random.choice(self.cluster.gateways_in_rotation())
        request = f"r{number:07d}"
        body = f"body of {request}".encode() * 3 if METHODS[kind] == "POST" else b""
        path = f"/{kind}/{number}?n={number}"
        request_fields = {"request": request, "kind": kind, "gateway": gateway.name, "account": account,
                 "key": key, "body": hashlib.sha1(body).hexdigest(), "path": path}
        headers = {"Host": "soak.example", wire.REQUEST_ID: request,
                   wire.KEY: wire.KEY_SCHEME + key, wire.DEADLINE: str(TIMEOUT_MS[kind]),
                   wire.ACCOUNT: "forged"}
        if kind == "streams":
            headers.update({wire.TOKENS: "8000,300", wire.COPY_TO: "127.0.0.1:1"})
        sent_at = time.monotonic()
        result = self._exchange(gateway, kind, path, headers, body, request_fields, gives_up,
                                kept and kept[1])
        attempt = Attempt(**request_fields, sent_at=sent_at, ended_at=time.monotonic(), **result)
        with self.lock:
            self.attempts.append(attempt)
        return attempt

    def _exchange(self, gateway, kind, path, headers, body, request_fields, gives_up, kept):
        result = {"outcome": "broken", "status": 0, "retry_after": None, "events": 0,
                  "reused": False, "gave_up": False, "leaving_server": None, "head_at": None}
        connection, result["reused"] = (kept, kept.sock is not None) if kept else self._take_connection(gateway, kind)
        try:
            connection.request(METHODS[kind], path, body or None, headers)
            response = connection.getresponse()
            result["status"] = response.status
            result["head_at"] = time.monotonic()
            if response.getheader(wire.LEAVING) == "1":
                result["leaving_server"] = response.getheader(wire.SERVER_ID)
            after = response.getheader("Retry-After")
            result["retry_after"] = float(after) if after else None
            if response.status == 200 and kind == "streams":
                self._read_stream(response, request_fields, result, gives_up)
            else:
                self._check_answer(response, response.read(), request_fields, result)
            if response.will_close or result["outcome"] == "gaveUp":
                connection.close()
            else:
                self._return_connection(gateway, connection)
        except InvalidAnswer as error:
            self.invalid_answers.append({"rule": "mixed", "cause": str(error), **request_fields})
            result["outcome"] = "wrong"
            connection.close()
        except (OSError, http.client.HTTPException, ValueError):
            connection.close()
        return result

    def _take_connection(self, gateway, kind):
        with self.lock:
            idle = self.idle_connections[gateway.name]
            if idle and kind != "streams":
                return idle.pop(), True
        return http.client.HTTPConnection("127.0.0.1", gateway.caller_port, timeout=wait_seconds(kind)), False

    def _return_connection(self, gateway, connection):
        with self.lock:
            if len(self.idle_connections[gateway.name]) < MAX_IDLE_CONNECTIONS:
                return self.idle_connections[gateway.name].append(connection)
        return connection.close()

    def _check_answer(self, response, text, request_fields, result):
        result["outcome"] = "refused" if response.status in NOT_RUN_STATUSES else "failed"
        if not 200 <= response.status < 300:
            return
        self._check_signature(response, request_fields)
        answer = json.loads(text)
        if answer.get("request") != request_fields["request"] or answer.get("body") != request_fields["body"]:
            raise InvalidAnswer(f"answer of {answer.get('request')}")
        result["outcome"] = "served"

    def _check_signature(self, response, request_fields):
        if not response.getheader(wire.SIGNATURE):
            raise InvalidAnswer("no signature")
        if response.getheader(wire.REQUEST_ID) != request_fields["request"]:
            raise InvalidAnswer(f"head of {response.getheader(wire.REQUEST_ID)}")

    def _read_stream(self, response, request_fields, result, gives_up):
        self._check_signature(response, request_fields)
        started_at = time.monotonic()
        buffer = b""
        while True:
            data = response.read1(65536)
            if not data:
                break
            buffer += data
            while b"\n\n" in buffer:
                text, buffer = buffer.split(b"\n\n", 1)
                self._check_event(text.decode(), request_fields, result)
            if gives_up and time.monotonic() - started_at > GIVE_UP_SECONDS:
                response.close()
                result.update(outcome="gaveUp", gave_up=True)
                return
        # http.client raises for a body without its last chunk, so this answer claims to be complete.
        if result["events"] != EVENTS_PER_RUN or buffer:
            raise InvalidAnswer(f"ends as complete after event {result['events']}")
        result["outcome"] = "served"

    @staticmethod
    def _check_event(text, request_fields, result):
        number = result["events"] + 1
        if text != f"id: {number}\ndata: {request_fields['request']}:{number}":
            raise InvalidAnswer(f"event {text!r} in place of {number}")
        result["events"] = number

