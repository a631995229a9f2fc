"""Tests of the stand-in of the key-value service: restores from a backup, pages and the epoch of its answers."""

import http.client
import json
import pathlib
import sys
import threading
import time
import unittest
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools" / "lib"), str(ROOT / "platform" / "standins")]
import wire  # noqa: E402
from soak.store import Store  # noqa: E402

PREFIX = wire.SERVER_PREFIX
# Limits that only a failing store reaches, also on a busy machine.
WATCH_MS = 20000
TIMEOUT_SECONDS = 25
# Time without an answer after which the store counts as silent.
SILENT_SECONDS = 0.5


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.server.shutdown)

    def call(self, method, path, body=None, timeout=5, **query):
        """Returns status, body and epoch of an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store.port, timeout=timeout)
        try:
            connection.request(method, f"{path}?{urllib.parse.urlencode(query)}", body and json.dumps(body))
            response = connection.getresponse()
            return response.status, json.loads(response.read()), response.getheader(wire.EPOCH)
        finally:
            connection.close()

    def range(self, **query):
        return self.call("GET", wire.RANGE_PATH, path_prefix="", **query)

    def watch(self, after, wait_ms=0, timeout=5):
        return self.call("GET", wire.WATCH_PATH, timeout=timeout, path_prefix="", after=after, wait_ms=wait_ms)

    def write(self, key, expected, lease=0):
        return self.call("POST", wire.WRITE_PATH, {"expected_rev": [{"key": key, "rev": expected}],
                                                   "puts": [{"key": key, "value": "", "lease": lease}]})

    def grant(self):
        return self.call("POST", wire.LEASE_PATH, {"ttl_ms": 5000})[1]["lease"]

    def keys(self):
        with self.store.lock:
            return sorted(self.store.items)

    def restore(self, made_at, **options):
        """Restores a backup that was made at `made_at`; nothing is written again by itself."""
        self.store.restore(made_at, **{"config_delay": None, "servers_delay": None, **options})

    def begin_outage(self, away):
        """Starts a restore that keeps the store away until end_outage(); returns its thread."""
        restore = threading.Thread(target=self.restore, args=(time.monotonic(),),
                                   kwargs={"away_seconds": TIMEOUT_SECONDS, "away": away})
        restore.start()
        self.wait_until(lambda: self.store.away)
        return restore

    def wait_until(self, condition):
        with self.store.lock:
            self.assertTrue(self.store.lock.wait_for(condition, timeout=10))

    def test_restore_brings_back_items_and_revision(self):
        self.store.put(PREFIX + "kept", 1)
        self.store.put(PREFIX + "removed", 1)
        before, revision = dict(self.store.items), self.store.revision
        backup = time.monotonic()
        self.store.put(PREFIX + "kept", 2)
        self.store.put(PREFIX + "added", 1)
        self.store.remove(PREFIX + "removed")
        self.restore(backup)
        self.assertEqual((before, revision, 2), (self.store.items, self.store.revision, self.store.epoch))
        self.store.put(PREFIX + "other", 1)
        self.assertEqual(revision + 1, self.store.items[PREFIX + "other"]["rev"])

    def test_second_restore_can_go_back_before_the_first(self):
        self.store.put(PREFIX + "first", 1)
        backup = time.monotonic()
        self.store.put(PREFIX + "second", 1)
        between = time.monotonic()
        self.restore(between)
        self.store.put(PREFIX + "third", 1)
        self.restore(backup)
        self.assertEqual(([PREFIX + "first"], 2, 3), (self.keys(), self.store.revision, self.store.epoch))

    def test_backup_of_the_time_before_a_restore_holds_what_that_restore_lost(self):
        backup = time.monotonic()
        self.store.put(PREFIX + "first", 1)
        later = time.monotonic()
        self.restore(backup)
        self.assertEqual([], self.keys())
        self.restore(later)
        self.assertEqual([PREFIX + "first"], self.keys())

    def test_leases_and_their_keys_are_gone(self):
        lease = self.grant()
        self.assertEqual(200, self.write("gateways/a", 0, lease)[0])
        self.store.put(PREFIX + "kept", 1)
        self.restore(time.monotonic())
        self.assertEqual([PREFIX + "kept"], self.keys())
        self.assertEqual(404, self.call("POST", f"{wire.RENEWAL_PREFIX}{lease}")[0])
        self.assertEqual(404, self.write("gateways/a", 0, lease)[0])

    def test_lease_number_is_given_out_again(self):
        backup = time.monotonic()
        lease = self.grant()
        self.restore(backup)
        self.assertEqual(lease, self.grant())

    def test_watch_after_a_restore(self):
        self.store.put(PREFIX + "a", 1)
        backup = time.monotonic()
        self.store.put(PREFIX + "lost", 1)
        position = self.store.revision
        self.restore(backup)
        self.assertEqual((410, {}, "2"), self.watch(position))
        self.store.put(PREFIX + "b", 1)
        self.assertEqual([], self.watch(position)[1]["events"])
        self.store.put(PREFIX + "c", 1)
        self.assertEqual([PREFIX + "c"], [event["key"] for event in self.watch(position)[1]["events"]])
        self.assertEqual([PREFIX + "b", PREFIX + "c"],
                         [event["key"] for event in self.watch(position - 1)[1]["events"]])

    def test_open_watch_ends_with_the_new_epoch(self):
        backup = time.monotonic()
        self.store.put(PREFIX + "lost", 1)
        answers = []
        watch = threading.Thread(target=lambda: answers.append(self.watch(self.store.revision, WATCH_MS, TIMEOUT_SECONDS)))
        watch.start()
        self.wait_until(lambda: self.store.open_watches)
        self.restore(backup)
        watch.join()
        self.assertEqual([(410, {}, "2")], answers)

    def test_away(self):
        """While it is away the store answers nothing but 503, and no write is acknowledged."""
        for away, error, timeout in (("down", None, TIMEOUT_SECONDS), ("silent", TimeoutError, SILENT_SECONDS),
                                     ("reset", ConnectionResetError, TIMEOUT_SECONDS)):
            with self.subTest(away=away):
                restore = self.begin_outage(away)
                if error:
                    self.assertRaises(error, self.watch, 0, timeout=timeout)
                else:
                    self.assertEqual(503, self.watch(0, timeout=timeout)[0])
                away_after_write = []

                def write():
                    self.store.put(PREFIX + away, 1)
                    away_after_write.append(self.store.away)

                writer = threading.Thread(target=write)
                writer.start()
                self.assertNotIn(PREFIX + away, self.keys())
                self.store.end_outage()
                writer.join()
                restore.join()
                self.assertEqual([None], away_after_write)
                self.assertIn(PREFIX + away, self.keys())

    def test_open_watch_fails_when_the_store_goes_away(self):
        for away, error, timeout in (("silent", TimeoutError, SILENT_SECONDS),
                                     ("reset", ConnectionResetError, TIMEOUT_SECONDS)):
            with self.subTest(away=away):
                errors = []

                def watch():
                    try:
                        self.watch(self.store.revision, WATCH_MS, timeout)
                    except OSError as failure:
                        errors.append(type(failure))

                thread = threading.Thread(target=watch)
                thread.start()
                self.wait_until(lambda: self.store.open_watches)
                restore = self.begin_outage(away)
                thread.join()
                self.store.end_outage()
                restore.join()
                self.assertEqual([error], errors)

    def test_newest_items_are_written_again(self):
        self.store.put(PREFIX + "removed", 1)
        backup = time.monotonic()
        self.store.put(wire.CONFIG_KEY, 1)
        self.store.put(PREFIX + "a", 1)
        self.store.remove(PREFIX + "removed")
        self.restore(backup, config_delay=0)
        self.assertEqual([wire.CONFIG_KEY, PREFIX + "removed"], self.keys())
        self.store.rewrite(PREFIX)
        self.assertEqual([wire.CONFIG_KEY, PREFIX + "a"], self.keys())
        self.restore(backup, config_delay=None, servers_delay=None)
        self.assertEqual([PREFIX + "removed"], self.keys())
        self.restore(backup, config_delay=0.2, servers_delay=0.4)
        self.wait_until(lambda: not self.store.keys_to_rewrite)
        self.assertEqual([wire.CONFIG_KEY, PREFIX + "a"], self.keys())

    def test_item_written_since_the_restore_is_not_written_again(self):
        self.store.put(wire.CONFIG_KEY, 1)
        self.restore(time.monotonic())
        self.store.put(wire.CONFIG_KEY, 2)
        item = self.store.items[wire.CONFIG_KEY]
        self.store.rewrite("")
        self.assertIs(item, self.store.items[wire.CONFIG_KEY])

    def test_pages(self):
        names = [PREFIX + name for name in "abcde"]
        for name in names:
            self.store.put(name, 1)
        self.store.page_size = 2
        read, more = [], True
        while more:
            _, page, _ = self.range(**({"after": read[-1]} if read else {}))
            read += [item["key"] for item in page["items"]]
            more = page["has_more"]
        self.assertEqual(names, read)

    def test_restore_between_two_pages(self):
        for name in "abc":
            self.store.put(PREFIX + name, 1)
        self.store.page_size = 2
        self.store.before_next_page = lambda: self.restore(time.monotonic())
        self.assertEqual("1", self.range()[2])
        self.assertEqual("2", self.range(after=PREFIX + "b")[2])
        self.assertEqual("2", self.range(after=PREFIX + "b")[2])

    def test_one_key(self):
        self.assertEqual(404, self.call("GET", wire.KEY_PATH, key="k")[0])
        self.store.put("k", 1)
        status, item, epoch = self.call("GET", wire.KEY_PATH, key="k")
        self.assertEqual((200, "k", 2, 2, "1"), (status, item["key"], item["rev"], item["as_of"], epoch))

    def test_answers_without_the_epoch(self):
        self.store.omits_epoch = True
        self.assertIsNone(self.range()[2])


if __name__ == "__main__":
    unittest.main()
