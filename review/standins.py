"""Small stand-ins for the scripts of this review: the platform's store, a server, a gateway process and a client.

Only loopback addresses are used. Ports are free ones, chosen by the system.
"""

import base64
import contextlib
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
GATEWAY = ROOT / "target" / "apps" / "foxtailring-gateway"

# A script that is ended at its time limit ends the processes that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Record:
    """The lines of record.txt: seconds since the start, and what was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            at = self.now()
            self.file.write(f"{at:9.3f} {text}\n")
            self.file.flush()
            return at


def run_case(folder, play):
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as scratch:
            code = play(record, scratch, os.environ.get("TROUBLE") != "0")
    except Exception as error:  # an error of the script is no broken rule
        record.write(f"the case could not run: {error!r}")
        code = 2
    record.write(f"exit {code}")
    return code


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def read_message(connection, data=b""):
    """Reads one message with a length; returns (start line, headers, body, rest) or None at the end."""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        part = connection.recv(65536)
        if not part:
            return None
        rest += part
    return lines[0], headers, rest[:length], rest[length:]


def message(status, headers, body=b""):
    head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """Accepts connections and serves each in a thread with serve(connection)."""

    def __init__(self, port=0):
        self.socket = socket.create_server(("127.0.0.1", port), backlog=512)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            self.open.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        with contextlib.suppress(OSError), connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(connection)
        self.open.discard(connection)

    def close(self):
        """Ends like a crashed process: nobody listens, all connections end."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in list(self.open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Store(Listener):
    """The platform's store: items, watches, leases, and a drill that brings back an older copy.

    `away` is None, "busy" (503) or "silent" (no answers).
    """

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.away = None
        self.leases = {}
        super().__init__()

    def put(self, key, value):
        """Writes an item; the write is acknowledged when this returns."""
        with self.lock:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        return self.record.write(f"store acknowledges {key} {json.dumps(value)}")

    def remove(self, key):
        with self.lock:
            self._remove(key)
        self.record.write(f"store removes {key}")

    def copy(self):
        with self.lock:
            return dict(self.items), self.revision, list(self.events)

    def restore(self, copy):
        with self.lock:
            self.items, self.revision, self.events = dict(copy[0]), copy[1], list(copy[2])
            self.items = {key: item for key, item in self.items.items() if not item["lease"]}
            self.leases = {}
            self.era += 1
            self.lock.notify_all()

    def _put(self, key, encoded, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": encoded, "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.lock.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})
            self.lock.notify_all()

    def serve(self, connection):
        rest = b""
        while True:
            request = read_message(connection, rest)
            if request is None:
                return
            line, _, body, rest = request
            method, target, _ = line.split(" ")
            if self.away == "silent":
                while self.away == "silent":
                    time.sleep(0.05)
                return
            with self.lock:
                status, value = (503, {}) if self.away else self._reply(method, target, body)
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
            if self.away == "silent":
                return
            connection.sendall(message(status, headers, json.dumps(value).encode()))

    def _reply(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("path_prefix", "")
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            after = query.get("after", "")
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix) and key > after]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        if url.path == "/kv-watch":
            return self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        if url.path == "/kv-txn":
            return self._write(json.loads(body))
        if url.path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.revision += 1
            self.leases[self.revision] = ttl
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[lease]
            return 200, {}
        return 200, {"lease": lease, "ttl_ms": self.leases[lease]}

    def _watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        era = self.era
        while True:
            if after > self.revision:
                return 410, {}
            found = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            self.lock.wait(left)
            if self.away or self.era != era:
                return 503, {}

    def _write(self, fields):
        for row in fields.get("expected_rev", []):
            current = self.items.get(row["key"])
            if (current["rev"] if current else 0) != row["rev"]:
                return 412, {"items": [current or {"key": row["key"], "rev": 0, "value": "", "lease": 0}]}
        for put in fields.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in fields.get("puts", []):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in fields.get("remove", []):
            self._remove(key)
        return 200, {"rev": self.revision}


def entry(service, address, zone, born_ms, slots=6):
    """The value of a server's entry in the store."""
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": born_ms}


class CallServer(Listener):
    """A sound server of calls. `runs` holds (seconds, request id, headers) of each request that it ran."""

    def __init__(self, record, server_id, port=0):
        self.record = record
        self.id = server_id
        self.runs = []
        super().__init__(port)

    def serve(self, connection):
        rest = b""
        while True:
            request = read_message(connection, rest)
            if request is None:
                return
            line, headers, body, rest = request
            connection.sendall(self.answer(line, headers, body))

    def answer(self, line, headers, body):
        request_id = headers.get("request-id", "")
        if not request_id:
            return message(400, {"Not-Executed": 1})
        if headers.get("target-instance", self.id) != self.id:
            self.record.write(f"server {self.id} answers 421 to {request_id}")
            return message(421, {"Request-Id": request_id, "Instance-Id": self.id, "Not-Executed": 1})
        at = self.record.write(f"server {self.id} runs {request_id} {line} tenant={headers.get('tenant')}")
        self.runs.append((at, request_id, headers))
        return message(200, {"Request-Id": request_id, "Server-Stamp": f"stamp.{self.id}.{request_id}"}, b"done")


class Gateway:
    """One gateway process with the settings that deploy/gateway.yaml gives on a small site."""

    def __init__(self, folder, store_port, record, name="front-a-1", zone="zone-a", zones=("zone-a", "zone-b")):
        self.record = record
        self.name = name
        self.port = free_port()
        self.ready_port = free_port()
        regions = ", ".join(f'"{one}=region-{one}"' for one in zones)
        self.settings = pathlib.Path(folder) / f"{name}.yaml"
        self.settings.write_text(
            f"nodeId: {name}\navailabilityZone: {zone}\nregions: [{regions}]\nlisten: 127.0.0.1:{self.port}\n"
            f"ready: 127.0.0.1:{self.ready_port}\nmetrics: 127.0.0.1:{free_port()}\nstore: 127.0.0.1:{store_port}\n"
            "memoryMb: 260\nkeyRevocationMs: 5000\nlistNoticeMs: 2500\nstoreReadsPerSecond: 2000\n"
            "drainLimitSeconds: 8\n", encoding="utf-8")
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FOXTAILRING_SETTINGS"] = str(self.settings)
        self.process = subprocess.Popen([GATEWAY], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record.write(f"gateway {self.name} starts")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"gateway {self.name} killed")

    def is_ready(self):
        with contextlib.suppress(OSError):
            with socket.create_connection(("127.0.0.1", self.ready_port), 0.5) as connection:
                connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                answer = read_message(connection)
                return answer is not None and answer[0].split(" ")[1] == "200"
        return False

    def wait_ready(self, seconds=10):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def send(port, request_id, path, key, host="site.example", method="POST", headers=None, body=b"x", timeout=6):
    """Sends one request on a new connection; returns (status, headers, body), status 0 if there was no answer."""
    fields = {"Host": host, "Request-Id": request_id, "Request-Deadline-Ms": 5000, "Authorization": f"Token {key}",
              "Content-Length": len(body), **(headers or {})}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    with contextlib.suppress(OSError):
        with socket.create_connection(("127.0.0.1", port), 1) as connection:
            connection.settimeout(timeout)
            connection.sendall(head.encode() + body)
            answer = read_message(connection)
            if answer:
                return int(answer[0].split(" ")[1]), answer[1], answer[2]
    return 0, {}, b""


def route(name, service, kind, timeout_ms=5000, **fields):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "kind": kind, "service": service,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "max_attempts": 2, "priority": 0, **fields}


def limits():
    return {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000}


class EngineServer(Listener):
    """A sound model server: streams numbered events, lists its runs, stops a run when its connection closes.

    It falls silent for `silence_seconds` after each `events_between_silences` events. `runs` maps the ids of the
    requests in work to the events made; `begun` and `done` hold the ids of requests that were begun and made whole,
    `answered` those for which an event was made. A request with the prompt part `crashing_part` crashes the server as it
    begins to write the answer; on_crash(server) is called then.
    """

    crashing_part = None
    on_crash = None

    def __init__(self, record, server_id, born_ms, events=40, event_seconds=0.05, prefill_seconds=0.2,
                 events_between_silences=10, silence_seconds=0.6):
        self.record = record
        self.id = server_id
        self.born_ms = born_ms
        self.events = events
        self.event_seconds = event_seconds
        self.prefill_seconds = prefill_seconds
        self.events_between_silences = events_between_silences
        self.silence_seconds = silence_seconds
        self.runs = {}
        self.begun = []
        self.done = set()
        self.answered = set()
        super().__init__()

    def restart(self):
        """Starts again under its id and address; it knows nothing of before."""
        self.born_ms = int(time.time() * 1000)
        self.runs = {}
        super().__init__(self.port)

    def serve(self, connection):
        rest = b""
        while True:
            request = read_message(connection, rest)
            if request is None:
                return
            line, headers, _, rest = request
            if line.startswith("GET /report "):
                connection.sendall(self._report())
                continue
            request_id = headers.get("request-id", "")
            if not request_id:
                connection.sendall(message(400, {"Not-Executed": 1}))
            elif headers.get("target-instance", self.id) != self.id:
                connection.sendall(message(421, {"Request-Id": request_id, "Instance-Id": self.id, "Not-Executed": 1}))
            elif "kv-from" in headers:
                connection.sendall(message(503, {"Request-Id": request_id, "Not-Executed": 1}))
            else:
                parts = [part.split(":")[0] for part in headers.get("prompt-prefix", "").split(",")[:-1]]
                self._stream(connection, request_id, int(headers.get("last-event-id", 0)), self.crashing_part in parts)

    def _report(self):
        runs = [[request_id, 8000, made, 5] for request_id, made in list(self.runs.items()) if made]
        fields = {"stage": "both", "models": [], "busy": False, "seq": 0, "num_waiting": 0,
                  "num_running": len(self.runs), "kv_used": 8000 * len(self.runs), "kv_total": 88000, "handles": 0,
                  "runs": runs, "born": self.born_ms}
        return message(200, {"Content-Type": "application/json"}, json.dumps(fields).encode())

    def _stream(self, connection, request_id, last_event, crashes):
        self.record.write(f"server {self.id} runs {request_id} from event {last_event + 1}")
        self.begun.append(request_id)
        self.runs[request_id] = last_event
        try:
            time.sleep(self.prefill_seconds)
            if crashes:
                self.record.write(f"server {self.id} crashes as it begins to answer {request_id}")
                self.on_crash(self)
                return
            connection.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                                f"Server-Stamp: stamp.{self.id}.{request_id}\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(last_event + 1, self.events + 1):
                event = f"id: {number}\ndata: token-{number}\n\n".encode()
                connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                self.runs[request_id] = number
                self.answered.add(request_id)
                pause = number % self.events_between_silences == 0
                time.sleep(self.silence_seconds if pause else self.event_seconds)
                if select.select([connection], [], [], 0)[0]:
                    self.record.write(f"server {self.id}: connection of {request_id} closed at event {number}")
                    raise OSError
            connection.sendall(b"0\r\n\r\n")
            self.done.add(request_id)
        finally:
            self.runs.pop(request_id, None)


def stream(connection, request_id, path, key, seconds=25, prompt=None):
    """Sends one request of a stream on an open connection; returns (status, event ids, whether it is whole)."""
    connection.settimeout(seconds)
    body = b"prompt"
    connection.sendall(
        (f"POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request_id}\r\nModel: m\r\n"
         f"Token-Count: 8000,200\r\nPrompt-Prefix: {prompt or request_id[-4:] + ':8000'}\r\nRequest-Deadline-Ms: {seconds * 1000}\r\n"
         f"Authorization: Token {key}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
    data = b""
    status = 0
    with contextlib.suppress(OSError):
        while True:
            if b"\r\n\r\n" in data:
                head, _, rest = data.partition(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                lower = head.lower()
                if b"chunked" in lower and rest.endswith(b"0\r\n\r\n"):
                    return status, event_ids(rest), True
                length = [line for line in lower.split(b"\r\n") if line.startswith(b"content-length:")]
                if length and len(rest) >= int(length[0].split(b":")[1]):
                    return status, [], True
            part = connection.recv(65536)
            if not part:
                break
            data += part
    return status, event_ids(data), False


def event_ids(data):
    return [int(line[4:]) for line in data.replace(b"\r", b"").split(b"\n") if line.startswith(b"id: ")]
