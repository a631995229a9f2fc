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


class Store:
    """Items and their history. `fault` is None, "down", "silent" or "slow"."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.compacted_revision = 0
        self.fault = None
        store = self

        class Handler(http_standin.Handler):
            def handle_request(self, _):
                store.serve(self)

        self.server = http_standin.Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes an item; the write counts as acknowledged when this returns."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.lock:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": encoded, "rev": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self._append_event(item)

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

    def serve(self, handler):
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
        return handler.answer_json(404, {})

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
