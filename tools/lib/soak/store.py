"""Stand-in of the key-value service that gateways watch, with faults that the soak sets."""

import base64
import json
import threading
import time
import urllib.parse

from . import http_standin
import wire

MAX_HISTORY_EVENTS = 400
SILENCE_SECONDS = 20
SLOW_REPLY_SECONDS = 0.4
LEASE_CHECK_INTERVAL_SECONDS = 0.2


class Store:
    """Items and their history. `fault` is None, "down", "silent" or "slow"."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.compacted_revision = 0
        self.leases = {}
        self.fault = None
        store = self

        class Handler(http_standin.Handler):
            def handle_request(self, body):
                store.serve(self, body)

        self.server = http_standin.Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put(self, key, value):
        """Writes an item; the write counts as acknowledged when this returns."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.put_encoded(key, base64.b64encode(value).decode())

    def put_encoded(self, key, encoded):
        """Writes an item whose value is not encoded any further; it need not be base64, nor a string."""
        with self.lock:
            self._put_encoded(key, encoded, 0)

    def _put_encoded(self, key, encoded, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": encoded, "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self._append_event(item)

    def _expire_leases(self):
        """Leases go on while the store is down, like those of a store whose clock goes on."""
        while True:
            time.sleep(LEASE_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            with self.lock:
                ended = {number for number, (_, end) in self.leases.items() if end <= now}
                for number in ended:
                    del self.leases[number]
                keys = [key for key, item in self.items.items() if item["lease"] in ended]
            for key in keys:
                self.remove(key)

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self._append_event({"key": key, "rev": self.revision, "removed": True})

    def compact(self):
        with self.lock:
            self.events.clear()
            self.compacted_revision = self.revision

    def _append_event(self, event):
        self.events.append(event)
        if len(self.events) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self.events.pop(0)["rev"]
        self.lock.notify_all()

    def serve(self, handler, body):
        fault = self.fault
        if fault == "down":
            return handler.answer_json(503, {})
        if fault == "silent":
            time.sleep(SILENCE_SECONDS)
            handler.close_connection = True
            return None
        if fault == "slow":
            time.sleep(SLOW_REPLY_SECONDS)
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("path_prefix", "")
        if url.path == wire.RANGE_PATH:
            with self.lock:
                items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
                return handler.answer_json(
                    200, {"items": items, "has_more": False, "as_of": self.revision})
        if url.path == wire.WATCH_PATH:
            return self.watch(handler, prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        if url.path == wire.WRITE_PATH:
            return self.write(handler, body)
        if url.path == wire.LEASE_PATH:
            return self.grant_lease(handler, wire.lease_duration_ms(body))
        if url.path.startswith(wire.RENEWAL_PREFIX):
            return self.renew_lease(handler, int(url.path[len(wire.RENEWAL_PREFIX):]))
        return handler.answer_json(404, {})

    def write(self, handler, body):
        key, expected, value, lease = wire.parse_write(body)
        with self.lock:
            current = self.items.get(key, {"key": key, "rev": 0, "value": "", "lease": 0})
            if lease and lease not in self.leases:
                return handler.answer_json(404, {})
            if current["rev"] != expected:
                return handler.answer_json(412, wire.conflict(current))
            self._put_encoded(key, value, lease)
            revision = self.revision
        return handler.answer_json(200, {"rev": revision})

    def grant_lease(self, handler, duration_ms):
        with self.lock:
            self.revision += 1
            number = self.revision
            self.leases[number] = (duration_ms, time.monotonic() + duration_ms / 1000)
        return handler.answer_json(200, wire.lease(number, duration_ms))

    def renew_lease(self, handler, number):
        with self.lock:
            if number not in self.leases:
                return handler.answer_json(404, {})
            duration_ms, _ = self.leases[number]
            self.leases[number] = (duration_ms, time.monotonic() + duration_ms / 1000)
        return handler.answer_json(200, wire.lease(number, duration_ms))

    def watch(self, handler, prefix, after, wait):
        deadline = time.monotonic() + wait
        with self.lock:
            while True:
                if after < self.compacted_revision:
                    return handler.answer_json(410, {})
                new = [event for event in self.events
                       if event["rev"] > after and event["key"].startswith(prefix)]
                remaining = deadline - time.monotonic()
                if new or remaining <= 0 or self.fault:
                    break
                self.lock.wait(min(remaining, 0.2))
            if self.fault == "down":
                return handler.answer_json(503, {})
            return handler.answer_json(200, {"events": new, "as_of": self.revision})
