"""Tests the checks of roll-outs on records that keep the limits and on records that exceed them."""

import pathlib
import sys
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools" / "lib"), str(ROOT / "platform" / "standins")]
from soak.checks import Fault  # noqa: E402
from soak import rollout_checks  # noqa: E402

ORDERED_AT = 100.0


class RolloutChecksTest(unittest.TestCase):
    def setUp(self):
        self.kind = "failing"
        self.records = []
        self.faults = []
        self.attempts = {}

    def send(self, at, server="i-9-1", gateway="gateway-0", is_bad=False):
        request = f"r{len(self.attempts)}"
        self.attempts[request] = types.SimpleNamespace(kind="writes", gateway=gateway)
        self.records.append({"event": "arrived", "at": at, "server": server, "request": request})
        if is_bad:
            self.records.append({"event": "bad", "at": at, "server": server, "request": request})

    def found(self):
        entries = [{"event": "versionStarted", "at": ORDERED_AT, "version": "v2", "server": "i-9-1"},
                   {"event": "rolloutOrdered", "at": ORDERED_AT, "service": "register", "version": "v2",
                    "kind": self.kind, "rampSeconds": 8}]
        journal = types.SimpleNamespace(
            entries_of=lambda *events: [entry for entry in entries if entry["event"] in events])
        evidence = types.SimpleNamespace(journal=journal, records=self.records, faults=self.faults,
                                         attempts=self.attempts)
        return [violation.rule for check in rollout_checks.ROLLOUT_CHECKS for violation in check(evidence)]

    def expose(self):
        for number in range(100):
            self.send(ORDERED_AT + 0.01 * number, server="i-1-1")
        for _ in range(62):
            self.send(ORDERED_AT + 2)

    def test_exposure_is_kept(self):
        self.expose()
        self.records = self.records[:-1]
        for number in range(10):
            self.send(ORDERED_AT + 3 + number / 10, server="i-1-1")
        self.assertEqual([], self.found())

    def test_exposure_is_exceeded(self):
        self.expose()
        for _ in range(10):
            self.send(ORDERED_AT + 2)
        self.assertEqual(["exposure"], self.found())

    def test_good_version_is_not_bounded(self):
        self.kind = "good"
        self.expose()
        for _ in range(10):
            self.send(ORDERED_AT + 2)
        self.assertEqual([], self.found())

    def test_gateway_out_of_touch_does_not_count(self):
        for _ in range(200):
            self.send(ORDERED_AT + 2)
        self.faults = [Fault("gateway_paused", "gateway-0", "i-1-1", ORDERED_AT - 3, ORDERED_AT - 1)]
        self.assertEqual([], self.found())

    def test_disturbed_server_excuses_nothing(self):
        for _ in range(200):
            self.send(ORDERED_AT + 2)
        self.faults = [Fault("server_paused", "gateway-0", "i-1-1", ORDERED_AT - 3, ORDERED_AT - 1)]
        self.assertEqual(["exposure"], self.found())

    def answer_badly(self):
        for _ in range(50):
            self.send(ORDERED_AT + 1, is_bad=True)

    def test_late_request(self):
        self.answer_badly()
        self.send(ORDERED_AT + 6.1)
        self.assertEqual(["rollback"], self.found())

    def test_request_within_the_time(self):
        self.answer_badly()
        self.send(ORDERED_AT + 5.9)
        self.assertEqual([], self.found())

    def test_bad_answers_before_the_store_was_disturbed_do_not_count(self):
        self.answer_badly()
        self.send(ORDERED_AT + 8)
        self.faults = [Fault("store_fails", "gateway-0", "i-1-1", ORDERED_AT + 1.5, ORDERED_AT + 2)]
        self.assertEqual([], self.found())


if __name__ == "__main__":
    unittest.main()
