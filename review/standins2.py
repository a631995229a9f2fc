"""Stand-ins for the scripts of this review: the platform's store, model servers, plain servers and clients.

One asyncio loop runs all of them; the gateways are processes of their own, started with the command of
deploy/system.toml and the template deploy/gateway.yaml. All addresses are loopback ones.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
HOST = "callers.example"
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
BOUNDS = {"drain_ms": 2500, "grace_s": 8, "revoke_ms": 5000, "config_apply_ms": 2500}
STARTED_AT = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED_AT


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = open(self.path, "w", encoding="utf-8")

    def write(self, who, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {who:<12} {what} {words}\n".rstrip() + "\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers with names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the bytes of the next chunk; empty for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ")
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while data := await read_chunk(reader):
            body += data
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    return ("\r\n".join(lines + [f"{name}: {value}" for name, value in headers.items()]) + "\r\n\r\n").encode()


def answer_bytes(status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    fields = {"Content-Type": "application/json", "Content-Length": len(body), **(headers or {})}
    return head_bytes(status, fields) + body


class HttpServer:
    """A server whose subclasses answer one request at a time on a connection."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Answers the request; False closes the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store, as PROTOCOL.md describes it, with its whole history. `silent` names the addresses of
    machines that it does not answer."""

    def __init__(self, record, ip="127.0.0.1", era=None):
        super().__init__(ip)
        self.record = record
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Condition()
        self.era = era
        self.silent = set()

    async def put(self, key, value, lease=0):
        """Writes an item; the write is acknowledged when this returns."""
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        self._remove(key)
        async with self.changed:
            self.changed.notify_all()

    def _put(self, key, encoded, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": encoded, "rev": self.revision, "created": created, "lease": lease}
        self.events.append(self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})

    def _expire(self):
        ended = {lease for lease, (_, end) in self.leases.items() if end <= now()}
        for lease in ended:
            del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] in ended]:
            self._remove(key)

    async def answer(self, request, reader, writer):
        self._expire()
        peer = writer.get_extra_info("peername")[0]
        if peer in self.silent:
            await asyncio.sleep(3600)
        status, body = await self._reply(request)
        await asyncio.sleep(0.004)
        headers = {"Store-Era": self.era} if self.era else {}
        writer.write(answer_bytes(status, body, headers))
        await writer.drain()
        return True

    async def _reply(self, request):
        path = request.path
        if path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = request.query.get("path_prefix", ""), request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(request)
        if path == "/kv-txn":
            return await self._transact(json.loads(request.body))
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = json.loads(request.body)["ttl_ms"]
            self.leases[self.next_lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        return 404, {}

    async def _watch(self, request):
        after, wait = int(request.query["after"]), int(request.query["wait_ms"]) / 1000
        prefix = request.query.get("path_prefix", "")
        ends_at = now() + wait
        while True:
            found = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            left = ends_at - now()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        rows = body.get("expected_rev", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in rows):
            return 412, {"items": [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in rows]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"rev": self.revision}


class Backend(HttpServer):
    """What plain and model servers share: the entry in the store, the heartbeat and the check of the instance."""

    def __init__(self, record, store, name, service, zone, slots, ip="127.0.0.1"):
        super().__init__(ip)
        self.record, self.store = record, store
        self.name, self.id = name, "i-" + name
        self.service, self.zone, self.slots = service, zone, slots
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.beats = None

    async def start(self, port=0):
        await self.listen(port)
        await self.beat()
        self.beats = asyncio.create_task(self._beat_on())

    async def beat(self):
        self.seq += 1
        await self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born})

    async def _beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    def stamp(self, request):
        return {"Request-Id": request.get("Request-Id"), "Server-Stamp": f"stamp.{self.name}",
                "Instance-Id": self.id}

    async def refuse(self, request, writer, status=503):
        self.record.write(self.name, "rejects", request=request.get("Request-Id"), status=status)
        writer.write(answer_bytes(status, {}, {"Request-Id": request.get("Request-Id"), "Instance-Id": self.id,
                                               "Not-Executed": "1"}))
        await writer.drain()
        return True

    async def answer(self, request, reader, writer):
        target = request.get("Target-Instance")
        if target and target != self.id:
            return await self.refuse(request, writer, 421)
        return await self.serve(request, reader, writer)

    async def serve(self, request, reader, writer):
        raise NotImplementedError


def config(version, routes, services, keys=(KEY,), tenants=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": TENANT, "api_keys": list(keys), "priority": 1}]}


def stream_route(service, **changes):
    return {"name": "r-runs", "host": HOST, "path_prefix": "/runs/", "kind": "streaming", "timeout_ms": 25000,
            "target_latency_ms": 4500, "priority": 1, "service": service, "max_attempts": 5, "public": False,
            "sticky": True, "can_resume": True, "gap_target_ms": 700, **changes}


def call_route(service, kind, path, **changes):
    return {"name": "r-" + path, "host": HOST, "path_prefix": f"/{path}/", "kind": kind, "timeout_ms": 2500,
            "target_latency_ms": 300, "priority": 2, "service": service,
            "max_attempts": 1 if kind == "non_idempotent" else 2, "public": False, **changes}


def engine_service(name):
    """The figures of the model servers in the small site file."""
    return {"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kv_capacity_tokens": 88000, "kv_token_bytes": 327680, "link_mbps": 550000.0,
                       "moves": True, "backups": True, "stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                       "handle_s": 4.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False}


def free_port(ip):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def render(template, fields):
    """The part of the templates of DEPLOY.md that deploy/gateway.yaml uses."""
    def section(match):
        table = fields
        for part in match[1].split("."):
            table = table.get(part, {})
        if not isinstance(table, dict):
            return match[2]
        items = list(table.items())
        texts = []
        for index, (name, value) in enumerate(items):
            text = match[2].replace("{{@}}", name).replace("{{.}}", value)
            texts.append(text.replace("{{,}}", "," if index + 1 < len(items) else ""))
        return "".join(texts)

    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[part]
        return str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Gateway:
    """A gateway process at a loopback address of its own, with the limits of a small deployment."""

    def __init__(self, record, folder, store_address, index=0):
        self.record = record
        self.ip = f"127.0.0.{20 + index}"
        self.name = f"gateway-{index}"
        self.port, self.ready_port = free_port(self.ip), free_port(self.ip)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.command = [str(ROOT / deploy["run"].split()[0]), *deploy["run"].split()[1:]]
        zones = list(ZONES)
        fields = {"node_name": self.name, "zone": zones[index % len(zones)], "zones": ZONES, "ip": self.ip,
                  "listen": {"front": f"{self.ip}:{self.port}", "ready": f"{self.ip}:{self.ready_port}"},
                  "platform": {"address": store_address, "reads_per_s": 2000}, "limits": {"memory_mb": 260},
                  "bounds": BOUNDS, "contracts": {}}
        text = render((ROOT / deploy["template"]).read_text(), fields)
        # The template names a fixed port for the metrics; another program may use it on this machine.
        text = text.replace(f"{self.ip}:9090", f"{self.ip}:{free_port(self.ip)}")
        self.settings = pathlib.Path(folder) / f"{self.name}.yaml"
        self.settings.write_text(text)
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                            env={**variables, "FOXTAILRING_SETTINGS": str(self.settings)})
        self.record.write(self.name, "started")

    async def wait_ready(self, seconds=15):
        ends_at = now() + seconds
        while now() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.write(self.name, "signal", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


Answer = collections.namedtuple("Answer", "status headers body is_whole")


async def call(record, gateway, method, path, request_id, headers=None, body=b"", timeout=6.0):
    """Sends one request on a new connection; returns the answer, or None for none."""
    fields = {"Host": HOST, "Request-Id": request_id, "Request-Deadline-Ms": int(timeout * 1000),
              "Authorization": "Token " + KEY, "Content-Length": len(body), **(headers or {})}
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port), 1)
        record.write("client", "sends", request=request_id, path=path, to=gateway.name)
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
        return await asyncio.wait_for(read_answer(record, reader, request_id, method), timeout + 1)
    except (OSError, asyncio.TimeoutError) as error:
        record.write("client", "noAnswer", request=request_id, error=type(error).__name__)
        return None
    finally:
        if writer:
            writer.close()


async def read_answer(record, reader, request_id, method="POST"):
    head = await read_head(reader)
    if head is None:
        record.write("client", "closed", request=request_id)
        return None
    status, headers, body, is_whole = int(head[0].split(" ")[1]), head[1], b"", True
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while data := await read_chunk(reader):
                body += data
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        is_whole = False
    record.write("client", "gets", request=request_id, status=status, bytes=len(body), whole=is_whole,
                 stamp=headers.get("server-stamp", "none"))
    return Answer(status, headers, body, is_whole)


def event_ids(body):
    return [int(one) for one in re.findall(rb"(?m)^id: ?(\d+)", body)]


def run(case_folder, play):
    """Plays `play(record, folder, trouble)`, which returns what broke the rule, and exits as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder)
    record.write("script", "begins", trouble=int(trouble))
    gateways = []
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            broken = asyncio.run(asyncio.wait_for(play(record, folder, trouble, gateways), 110))
            for line in broken:
                record.write("check", line)
                print(line)
            code = 1 if broken else 0
        except CannotRun as error:
            record.write("script", "cannotRun", reason=error)
            print(f"cannot run: {error}")
        except asyncio.TimeoutError:
            record.write("script", "cannotRun", reason="the script took too long")
        except Exception as error:  # a fault of the script is no verdict
            record.write("script", "cannotRun", reason=repr(error))
            print(f"cannot run: {error!r}")
        finally:
            for gateway in gateways:
                gateway.end()
            if os.environ.get("KEEP_LOGS"):
                for gateway in gateways:
                    print(gateway.log_path.read_text())
    record.write("script", "ends", code=code)
    sys.exit(code)
