"""Stand-in of the key-value service that gateways watch, with faults that the soak sets."""

import base64
import collections
import json
import threading
import time
import urllib.parse

from . import endless, http_standin
import wire

MAX_HISTORY_EVENTS = 400
SILENCE_SECONDS = 20
SLOW_REPLY_SECONDS = 0.4
LEASE_CHECK_INTERVAL_SECONDS = 0.2
MAX_BACKUP_AGE_SECONDS = 60
PAGE_VALUE = base64.b64encode(bytes(1024 * 1024)).decode()
# Within this time after a restore the servers have written their entries again.
SERVERS_REWRITE_SECONDS = 2

# A change of the store that can be undone: its time, the revision before it and the items before it, None for a
# missing one.
Change = collections.namedtuple("Change", "at revision items")


class Unanswered(Exception):
    """The store does not answer this call; the connection is closed."""


class Store:
    """Items and their history. `fault` is None, "down", "silent" or "slow".

    `page_size` bounds the items of a page; None puts all in one. `before_next_page` is called once, before the next
    page that is not the first of its read. `omits_epoch` leaves the epoch out of the answers. `endless` is a shape of soak.endless that all answers
    have, or PAGES: reads are answered with one more page without end.
    """

    PAGES = "endlessPages"

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.epoch = 1
        self.items = {}
        self.events = []
        self.compacted_revision = 0
        self.leases = {}
        self.fault = None
        self.page_size = None
        self.before_next_page = None
        self.omits_epoch = False
        self.endless = None
        self.endless_answers = collections.Counter()
        self.next_lease = None
        self.away = None
        self.ends_outage = False
        self.newest = {}
        self.keys_to_rewrite = set()
        self.changes = collections.deque()
        self.open_watches = 0
        self.restore_lock = threading.Lock()
        store = self

        class Handler(http_standin.Handler):
            def handle_request(self, body):
                store.serve(self, body)

        self.server = http_standin.Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put(self, key, value):
        """Writes an item; the write counts as acknowledged when this returns. Waits while a restore is under way."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.put_encoded(key, base64.b64encode(value).decode())

    def put_encoded(self, key, encoded):
        """Writes an item whose value is not encoded any further; it need not be base64, nor a string."""
        with self.lock:
            self._wait_until_back()
            self.newest[key] = encoded
            self.keys_to_rewrite.discard(key)
            self._put_encoded(key, encoded, 0)

    def _put_encoded(self, key, encoded, lease):
        self._record_change(key)
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
                for key in [key for key, item in self.items.items() if item["lease"] in ended]:
                    self._remove(key)

    def remove(self, key):
        """Removes an item. Waits while a restore is under way."""
        with self.lock:
            self._wait_until_back()
            self.newest[key] = None
            self.keys_to_rewrite.discard(key)
            self._remove(key)

    def _remove(self, key):
        if key not in self.items:
            return
        self._record_change(key)
        del self.items[key]
        self.revision += 1
        self._append_event({"key": key, "rev": self.revision, "removed": True})

    def compact(self):
        with self.lock:
            self.events.clear()
            self.compacted_revision = self.revision
            self.lock.notify_all()

    def _append_event(self, event):
        self.events.append(event)
        if len(self.events) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self.events.pop(0)["rev"]
        self.lock.notify_all()

    def _record_change(self, *keys):
        now = time.monotonic()
        self.changes.append(Change(now, self.revision, {key: self.items.get(key) for key in keys}))
        while self.changes[0].at < now - MAX_BACKUP_AGE_SECONDS:
            self.changes.popleft()

    def _wait_until_back(self):
        while self.away:
            self.lock.wait()

    def restore(self, made_at, away_seconds=0, away="down", config_delay=0,
                servers_delay=SERVERS_REWRITE_SECONDS):
        """Restores the store from a backup that was made at the monotonic time `made_at`.

        Until then the store is away for `away_seconds`: "down" (503), "silent" or "reset". The items and the revision
        become those of the backup, all leases and their keys are gone without an event, and the epoch rises by one.
        The newest configuration is written again `config_delay` seconds later; the newest entries of the servers, and
        the removals of entries, at equal intervals within `servers_delay` seconds. None: rewrite() does it.
        """
        with self.restore_lock:
            if away_seconds:
                with self.lock:
                    self.away = away
                    self.lock.notify_all()
                    self.lock.wait_for(lambda: self.ends_outage, away_seconds)
                    self.ends_outage = False
            with self.lock:
                self._roll_back(made_at)
                self.epoch += 1
                epoch = self.epoch
                self.away = None
                self.keys_to_rewrite = set(self.newest)
                if config_delay == 0:
                    self.rewrite(wire.CONFIG_KEY)
                self.lock.notify_all()
        threading.Thread(target=self._rewrite_later, args=(epoch, config_delay, servers_delay), daemon=True).start()

    def end_outage(self):
        """Ends the time for which a restore keeps the store away."""
        with self.lock:
            self.ends_outage = True
            self.lock.notify_all()

    def _roll_back(self, made_at):
        items = dict(self.items)
        revision = self.revision
        for change in reversed(self.changes):
            if change.at <= made_at:
                break
            revision = change.revision
            for key, item in change.items.items():
                items.pop(key, None)
                if item is not None:
                    items[key] = item
        items = {key: item for key, item in items.items() if not item["lease"]}
        self._record_change(*(key for key in items.keys() | self.items.keys()
                              if items.get(key) is not self.items.get(key)))
        self.items = items
        self.revision = revision
        self.leases = {}
        self.events = [event for event in self.events if event["rev"] <= revision]
        self.compacted_revision = min(self.compacted_revision, revision)

    def rewrite(self, prefix):
        """Writes the newest items with the prefix again, and removes again those that are to be missing, unless that
        has happened since the restore."""
        with self.lock:
            for key in sorted(key for key in self.keys_to_rewrite if key.startswith(prefix)):
                self._rewrite_key(key)

    def _rewrite_key(self, key):
        self.keys_to_rewrite.discard(key)
        if self.newest[key] is None:
            self._remove(key)
        else:
            self._put_encoded(key, self.newest[key], 0)

    def _rewrite_later(self, epoch, config_delay, servers_delay):
        with self.lock:
            servers = sorted(self.keys_to_rewrite - {wire.CONFIG_KEY})
        times = [] if config_delay is None else [(config_delay, wire.CONFIG_KEY)]
        if servers_delay is not None:
            times += [(servers_delay * (index + 1) / len(servers), key) for index, key in enumerate(servers)]
        started_at = time.monotonic()
        for delay, key in sorted(times):
            time.sleep(max(0, started_at + delay - time.monotonic()))
            with self.lock:
                if self.epoch != epoch or self.away:
                    return
                if key in self.keys_to_rewrite:
                    self._rewrite_key(key)

    def serve(self, handler, body):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.endless:
            return self._answer_endlessly(handler, url.path, query)
        if url.path == wire.RANGE_PATH and "after" in query:
            self._prepare_next_page()
        try:
            self._delay()
            with self.lock:
                self._fail_while_away(handler)
                status, value = self._reply(url.path, query, body)
                # The store may have gone away during a watch.
                self._fail_while_away(handler)
                headers = {} if self.omits_epoch else {wire.EPOCH: self.epoch}
        except Unanswered:
            handler.close_connection = True
            return
        handler.answer_json(status, value, headers)

    def _answer_endlessly(self, handler, path, query):
        shape = self.endless
        self.endless_answers[path.rstrip("0123456789")] += 1
        if shape != self.PAGES:
            return endless.send_endless_answer(handler, shape, {wire.EPOCH: self.epoch}, b"{}", b"")
        if path != wire.RANGE_PATH:
            return handler.answer_json(410, {}, {wire.EPOCH: self.epoch})
        key = f"x{int(query.get('after', 'x0')[1:]) + 1:09}"
        item = {"key": key, "value": PAGE_VALUE, "rev": 1, "created": 1, "lease": 0}
        return handler.answer_json(200, {"items": [item], "has_more": True, "as_of": self.revision},
                                   {wire.EPOCH: self.epoch})

    def _prepare_next_page(self):
        with self.lock:
            hook, self.before_next_page = self.before_next_page, None
        if hook:
            hook()

    def _delay(self):
        fault = self.fault
        if fault == "silent":
            time.sleep(SILENCE_SECONDS)
            raise Unanswered
        if fault == "slow":
            time.sleep(SLOW_REPLY_SECONDS)

    def _fail_while_away(self, handler):
        if self.away == "silent":
            self.lock.wait_for(lambda: False, SILENCE_SECONDS)
            raise Unanswered
        if self.away == "reset":
            http_standin.reset(handler)
            raise Unanswered

    def _reply(self, path, query, body):
        """Returns the status and the body of an answer. The lock is held."""
        if self.fault == "down" or self.away:
            return 503, {}
        prefix = query.get("path_prefix", "")
        if path == wire.KEY_PATH:
            return self._item(query["key"])
        if path == wire.RANGE_PATH:
            return self._page(prefix, query.get("after", ""))
        if path == wire.WATCH_PATH:
            return self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == wire.WRITE_PATH:
            return self._write(body)
        if path == wire.LEASE_PATH:
            return self._grant_lease(wire.lease_duration_ms(body))
        if path.startswith(wire.RENEWAL_PREFIX):
            return self._renew_lease(int(path[len(wire.RENEWAL_PREFIX):]))
        return 404, {}

    def _item(self, key):
        if key not in self.items:
            return 404, {}
        return 200, {**self.items[key], "as_of": self.revision}

    def _page(self, prefix, after):
        items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix) and key > after]
        page = items[:self.page_size]
        return 200, {"items": page, "has_more": len(page) < len(items), "as_of": self.revision}

    def _write(self, body):
        key, expected, value, lease = wire.parse_write(body)
        current = self.items.get(key, {"key": key, "rev": 0, "value": "", "lease": 0})
        if lease and lease not in self.leases:
            return 404, {}
        if current["rev"] != expected:
            return 412, wire.conflict(current)
        self._put_encoded(key, value, lease)
        return 200, {"rev": self.revision}

    def _grant_lease(self, duration_ms):
        """Gives the lease the number `next_lease` once, if it is set, else the next revision."""
        self._record_change()
        self.revision += 1
        number = self.next_lease or self.revision
        self.next_lease = None
        self.leases[number] = (duration_ms, time.monotonic() + duration_ms / 1000)
        return 200, wire.lease(number, duration_ms)

    def _renew_lease(self, number):
        if number not in self.leases:
            return 404, {}
        duration_ms, _ = self.leases[number]
        self.leases[number] = (duration_ms, time.monotonic() + duration_ms / 1000)
        return 200, wire.lease(number, duration_ms)

    def _watch(self, prefix, after, wait):
        """A watch that is open while the store is restored goes on in the restored history."""
        deadline = time.monotonic() + wait
        self.open_watches += 1
        self.lock.notify_all()
        try:
            return self._wait_for_events(prefix, after, deadline)
        finally:
            self.open_watches -= 1

    def _wait_for_events(self, prefix, after, deadline):
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            new = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            remaining = deadline - time.monotonic()
            if new or remaining <= 0 or self.fault or self.away:
                break
            self.lock.wait(min(remaining, 0.2))
        if self.fault == "down" or self.away:
            return 503, {}
        return 200, {"events": new, "as_of": self.revision}
