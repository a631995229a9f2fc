"""Tests each check of the soak on records that satisfy its guarantee and on records that violate it."""

import datetime
import json
import pathlib
import sys
import tempfile
import types
import unittest
import unittest.mock

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools" / "lib"), str(ROOT / "platform" / "standins")]
from soak import checks  # noqa: E402
from soak.callers import Attempt  # noqa: E402
from soak.records import gateway_entries, server_records  # noqa: E402
from soak.journal import Journal  # noqa: E402

# Of the wall clock ahead of the monotonic one, in the logs made here.
CLOCK_OFFSET = 1_800_000_000.0


class PreemptedClock:
    """Both clocks of a process that is preempted for half a second after its first readings of the wall clock."""

    def __init__(self, preemptions):
        self.now = 10.0
        self.preemptions = preemptions

    def monotonic(self):
        return self.now

    def time(self):
        wall = self.now + CLOCK_OFFSET
        if self.preemptions > 0:
            self.preemptions -= 1
            self.now += 0.5
        return wall


def attempt(request="r1", kind="writes", **fields):
    facts = {"request": request, "kind": kind, "gateway": "gateway-0", "account": "a", "key": "k",
             "body": "b", "path": "/p", "sent_at": 100.0, "ended_at": 100.2, "outcome": "served",
             "status": 200, "retry_after": None, "events": 0, "reused": False, "gave_up": False,
             "leaving_server": None, "head_at": 100.2}
    return Attempt(**{**facts, **fields})


def record(event, at, request="r1", server="i-1-1", **fields):
    return {"event": event, "at": at, "request": request, "server": server, **fields}


def run(at=100.1, request="r1", server="i-1-1", **fields):
    as_sent = {"account": "a", "hasKey": False, "method": "POST", "path": "/p", "body": "b"}
    return record("run", at, request, server, **{**as_sent, **fields})


class ChecksTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.journal = Journal(self.folder / "journal.jsonl")
        self.addCleanup(self.journal.file.close)
        self.attempts = []
        self.records = []
        self.invalid_answers = []
        self.clock = unittest.mock.patch.object(checks, "wall_clock_offset", return_value=CLOCK_OFFSET)
        self.clock.start()
        self.addCleanup(self.clock.stop)

    def record_event(self, event, at, **fields):
        self.journal.entries.append({"at": at, "event": event, **fields})

    def fault(self, kind, start, end, gateway="gateway-0", server="i-1-1"):
        number = len(self.journal.entries)
        facts = {"number": number, "kind": kind, "gateway": gateway, "server": server}
        self.record_event("fault", start, **facts)
        self.record_event("faultOver", end, **facts)

    def violated_rules(self, check):
        (self.folder / "server-0.jsonl").write_text(
            "".join(json.dumps(one) + "\n" for one in self.records))
        cluster = types.SimpleNamespace(journal=self.journal, folder=self.folder)
        callers = types.SimpleNamespace(attempts=self.attempts, invalid_answers=self.invalid_answers)
        return [one.rule for one in check(checks.Evidence(cluster, callers))]

    def test_wrong_answer(self):
        self.assertEqual([], self.violated_rules(checks.wrong_answers))
        self.invalid_answers.append({"rule": "mixed"})
        self.assertEqual(["wholeAnswer"], self.violated_rules(checks.wrong_answers))

    def test_served_without_a_run(self):
        self.attempts.append(attempt())
        self.assertEqual(["servedHasRun"], self.violated_rules(checks.served_requests_ran))
        self.records.append(run())
        self.assertEqual([], self.violated_rules(checks.served_requests_ran))

    def limited_server(self, requests, interval):
        """A server that names 2 requests per second from 100 s to 120 s, and gets these requests."""
        self.records.append(record("limit", 100, limit=2))
        for number in range(requests):
            self.attempts.append(attempt(request=f"r{number}"))
            self.records.append(record("arrived", 105 + number * interval, request=f"r{number}"))
        self.records.append(record("limit", 120, limit=None))

    def test_rate_limit(self):
        self.limited_server(17, 0.2)
        self.assertEqual([], self.violated_rules(checks.rate_limits_hold))

    def test_rate_limit_is_exceeded(self):
        self.limited_server(18, 0.2)
        self.assertEqual(["rateLimit"], self.violated_rules(checks.rate_limits_hold))

    def test_probes_count_against_the_rate_limit(self):
        self.limited_server(17, 0.2)
        self.records.append(record("asked", 106, request=None))
        self.assertEqual(["rateLimit"], self.violated_rules(checks.rate_limits_hold))

    def test_requests_before_the_limit_count(self):
        self.records += [record("limit", 100, limit=2), record("limit", 120, limit=None)]
        for number in range(18):
            self.attempts.append(attempt(request=f"r{number}"))
            self.records.append(record("arrived", 99.2 + number * 0.01, request=f"r{number}"))
        self.assertEqual(["rateLimit"], self.violated_rules(checks.rate_limits_hold))

    def test_restarted_gateway_is_excused(self):
        self.limited_server(18, 0.2)
        self.fault("gateway_killed", 104, 104.5)
        self.assertEqual([], self.violated_rules(checks.rate_limits_hold))

    def paused_server(self, times, gateway="gateway-0"):
        """A server that asks gateway-0 for a pause of 2 s at 100 s, and gets requests at these times."""
        self.attempts.append(attempt(request="away"))
        self.records.append(record("arrived", 100, request="away"))
        self.records.append(record("turnedAway", 100, request="away", pause=2))
        for number, at in enumerate(times):
            self.attempts.append(attempt(request=f"r{number}", gateway=gateway))
            self.records.append(record("arrived", at, request=f"r{number}"))

    def test_pause(self):
        self.paused_server([100.1, 100.2, 100.3, 100.4, 100.6, 101.9, 102.1, 102.2])
        self.assertEqual([], self.violated_rules(checks.pauses_hold))

    def test_pause_is_not_kept(self):
        self.paused_server([100.6, 101, 101.9])
        self.assertEqual(["pause"], self.violated_rules(checks.pauses_hold))

    def test_turned_away_requests_count_in_the_pause(self):
        self.paused_server([100.6, 101, 101.9])
        for number in range(3):
            self.records.append(record("turnedAway", 100.6 + number / 2, request=f"r{number}", pause=2))
        self.assertEqual(["pause"], self.violated_rules(checks.pauses_hold))

    def test_requests_of_another_gateway_do_not_count_in_the_pause(self):
        self.paused_server([100.6, 101, 101.9], gateway="gateway-1")
        self.assertEqual([], self.violated_rules(checks.pauses_hold))

    def test_requests_to_a_restarted_server_do_not_count_in_the_pause(self):
        self.paused_server([])
        for number in range(5):
            self.attempts.append(attempt(request=f"r{number}"))
            self.records.append(record("arrived", 101, request=f"r{number}", server="i-1-2"))
        self.assertEqual([], self.violated_rules(checks.pauses_hold))

    def test_probes_count_in_the_pause(self):
        for connections, rules in ((("c1", "c1", "c1"), ["pause"]), (("c1", "c1", "c2"), []),
                                   (("c1", "c1"), []), ((None, None, None), [])):
            with self.subTest(connections=connections):
                self.attempts, self.records = [], []
                self.paused_server([])
                self.attempts.append(attempt(request="other", gateway="gateway-1"))
                self.records += [record("arrived", 99, request="away", connection="c1"),
                                 record("arrived", 99, request="other", connection="c2")]
                self.records += [record("asked", 100.6 + number / 10, request=None, connection=connection)
                                 for number, connection in enumerate(connections)]
                self.assertEqual(rules, self.violated_rules(checks.pauses_hold))

    def test_pause_that_a_probe_was_told_counts(self):
        self.attempts.append(attempt(request="r1"))
        self.records += [record("arrived", 99, connection="c1"),
                         record("turnedAway", 100, request=None, connection="c1", pause=2)]
        self.records += [record("asked", at, request=None, connection="c1") for at in (100.6, 101, 101.9)]
        self.assertEqual(["pause"], self.violated_rules(checks.pauses_hold))

    def test_gateway_that_was_disturbed_is_excused_from_the_pause(self):
        for kind, gateway, server, rules in (("gateway_paused", "gateway-0", "i-1-1", []),
                                             ("gateway_paused", "gateway-1", "i-1-1", ["pause"]),
                                             ("link_silent", "gateway-1", "i-1-1", []),
                                             ("link_silent", "gateway-0", "i-2-1", ["pause"]),
                                             ("store_cut", "gateway-0", "i-1-1", ["pause"])):
            with self.subTest(kind=kind, gateway=gateway, server=server):
                self.attempts, self.records, self.journal.entries = [], [], []
                self.paused_server([100.6, 101, 101.9])
                self.fault(kind, 100.2, 101, gateway=gateway, server=server)
                self.assertEqual(rules, self.violated_rules(checks.pauses_hold))

    def test_run_that_no_caller_sent(self):
        self.records.append(run(request="r9"))
        self.assertEqual(["knownRequest"], self.violated_rules(checks.runs_are_as_sent))

    def test_run_differs_from_what_was_sent(self):
        self.attempts.append(attempt())
        self.records.append(run())
        self.assertEqual([], self.violated_rules(checks.runs_are_as_sent))
        for field, value in (("account", "forged"), ("hasKey", True), ("body", "x"),
                             ("path", "/q"), ("method", "GET")):
            self.records[:] = [run(**{field: value})]
            self.assertEqual(["runsAsSent"], self.violated_rules(checks.runs_are_as_sent), field)

    def test_write_that_runs_twice(self):
        self.attempts.append(attempt())
        self.records.append(run())
        self.assertEqual([], self.violated_rules(checks.writes_run_once))
        self.records.append(run(server="i-2-1"))
        self.assertEqual(["runsOnce"], self.violated_rules(checks.writes_run_once))

    def test_read_may_run_twice(self):
        self.attempts.append(attempt(kind="reads"))
        self.records += [run(), run(server="i-2-1")]
        self.assertEqual([], self.violated_rules(checks.writes_run_once))

    def test_refused_request_that_ran(self):
        self.attempts.append(attempt(outcome="refused", status=503))
        self.assertEqual([], self.violated_rules(checks.refused_never_run))
        self.records.append(run(at=130.0))
        self.assertEqual(["refusedNeverRuns"], self.violated_rules(checks.refused_never_run))

    def test_stream_at_two_servers(self):
        self.attempts.append(attempt(kind="streams"))
        self.records += [run(at=100.0), run(at=101.0, server="i-2-1"), record("ended", 101.5)]
        self.assertEqual([], self.violated_rules(checks.streams_run_at_one_server))
        self.records[-1] = record("ended", 102.0)
        self.assertEqual(["runsAtOneServer"], self.violated_rules(checks.streams_run_at_one_server))
        self.fault("link_one_way", 100.5, 101.5, server="i-3-1")
        self.fault("server_crashed", 100.5, 101.5)
        self.assertEqual(["runsAtOneServer"], self.violated_rules(checks.streams_run_at_one_server))
        self.fault("link_one_way", 100.5, 101.5)
        self.assertEqual([], self.violated_rules(checks.streams_run_at_one_server))

    # The attempt that the gateway closed first started to run last, and ended at once (seed 2).
    def test_order_of_attempts_decides_which_run_is_left(self):
        self.attempts.append(attempt())
        self.records += [record("arrived", 100.0, server="i-5-1"),
                         record("arrived", 100.1, server="i-0-1"),
                         run(at=100.3, server="i-0-1"), run(at=100.31, server="i-5-1"),
                         record("ended", 100.32, server="i-5-1"),
                         record("ended", 101.2, server="i-0-1")]
        self.assertEqual([], self.violated_rules(checks.streams_run_at_one_server))

    def two_attempts(self, *runs, ended_at=101.2):
        """A stream sent at 99.4 s; a run is a server, the time left told to it, and its arrival, start and end."""
        self.attempts[:] = [attempt(kind="streams", sent_at=99.4, ended_at=ended_at)]
        self.records[:] = []
        for server, time_left_ms, arrived_at, started_at, ended in runs:
            self.records += [record("arrived", arrived_at, server=server),
                             run(at=started_at, server=server, deadline=time_left_ms),
                             record("ended", ended, server=server)]

    # A slow link: the attempt that was sent first and left arrived 17 ms after the one that goes on (seed 528).
    def test_attempt_that_arrived_last_may_have_been_sent_first(self):
        self.two_attempts(("i-0-2", 11480, 100.0, 100.2, 101.1), ("i-1-2", 12000, 100.017, 100.3, 100.328))
        self.assertEqual([], self.violated_rules(checks.streams_run_at_one_server))

    def test_run_that_was_left_and_works_on(self):
        for name, arrived_at in (("arrived first", 99.5), ("arrived last", 100.017)):
            for end, rules in ((100.89, []), (100.92, ["runsAtOneServer"])):
                with self.subTest(name=name, end=end):
                    self.two_attempts(("i-0-2", 11480, 100.0, 100.2, 101.1),
                                      ("i-1-2", 12000, arrived_at, 100.19, end))
                    self.assertEqual(rules, self.violated_rules(checks.streams_run_at_one_server))

    # The gateway had two attempts for a moment and went on with the first one, which delivered first (seed 875).
    def test_attempt_that_goes_on_leaves_its_replacement(self):
        line = json.dumps({"time": "2026-01-01T00:00:00.000Z", "level": "info", "event": "attemptResumed",
                           "request": "r1", "server": "i-1-2"}, separators=(",", ":"))
        for end, rules in ((100.99, []), (101.01, ["runsAtOneServer"])):
            with self.subTest(end=end):
                self.two_attempts(("i-1-2", 12000, 100.0, 100.1, 101.1), ("i-0-2", 11480, 100.2, 100.3, end))
                self.assertEqual(["runsAtOneServer"], self.violated_rules(checks.streams_run_at_one_server))
                (self.folder / "gateway-0.log").write_text(line + "\n")
                self.assertEqual(rules, self.violated_rules(checks.streams_run_at_one_server))
                (self.folder / "gateway-0.log").unlink()

    def test_run_that_arrived_first_goes_on_without_its_caller(self):
        for end, rules in ((101.85, []), (101.95, ["runsAtOneServer"])):
            with self.subTest(end=end):
                self.two_attempts(("i-0-2", 11480, 100.0, 100.2, end), ("i-1-2", 12000, 100.017, 100.3, 100.5))
                self.assertEqual(rules, self.violated_rules(checks.streams_run_at_one_server))

    # The attempts cannot have been sent further apart than the caller's request and the last arrival.
    def test_time_left_that_cannot_be_true_gives_no_order(self):
        for time_left_ms, rules in ((11400, []), (11300, ["runsAtOneServer"]), (0, ["runsAtOneServer"])):
            with self.subTest(time_left_ms=time_left_ms):
                self.two_attempts(("i-0-2", time_left_ms, 100.0, 100.2, 101.1),
                                  ("i-1-2", 12000, 100.017, 100.3, 100.328))
                self.assertEqual(rules, self.violated_rules(checks.streams_run_at_one_server))

    def test_withdrawn_key(self):
        self.record_event("keyWithdrawn", 100.0, key="k", acknowledged=100.0)
        self.attempts.append(attempt(sent_at=102.9))
        self.records.append(run())
        self.assertEqual([], self.violated_rules(checks.withdrawn_keys_run_nothing))
        self.attempts[0] = attempt(sent_at=103.1)
        self.assertEqual(["keyWithdrawn"], self.violated_rules(checks.withdrawn_keys_run_nothing))

    def test_proper_requests_denied(self):
        self.attempts += [attempt(request=f"r{number}", status=401) for number in range(5)]
        self.assertEqual([], self.violated_rules(checks.proper_requests_are_allowed))
        self.attempts.append(attempt(request="r5", status=404))
        self.assertEqual(["allowed"], self.violated_rules(checks.proper_requests_are_allowed))

    def test_requests_denied_while_their_key_was_added(self):
        """An older configuration, in force until 2.5 s after the change, may deny them; any other denial counts."""
        self.record_event("config", 90.0, version=1, keys=["k0"])
        self.record_event("config", 100.0, version=2, keys=["k0", "k1"])
        for key, sent_at, status, violated in (("k1", 102.4, 401, []), ("k1", 102.6, 401, ["allowed"]),
                                               ("k1", 100.1, 404, ["allowed"]), ("k0", 100.1, 401, ["allowed"])):
            self.attempts[:] = [attempt(request=f"r{number}", key=key, sent_at=sent_at, status=status)
                                for number in range(6)]
            self.assertEqual(violated, self.violated_rules(checks.proper_requests_are_allowed))

    def log_of_gateway(self, *processes, gateway="gateway-0"):
        """Has the gateway's log say when each process started and when which version came into force there."""
        lines = []
        for start, *versions in processes:
            for at, event, version in [(start, "started", 0), *((at, "configInForce", version)
                                                                for at, version in versions)]:
                moment = datetime.datetime.fromtimestamp(at + CLOCK_OFFSET, datetime.timezone.utc)
                lines.append(json.dumps({"time": moment.isoformat(), "event": event, "version": str(version)},
                                        separators=(",", ":")))
        (self.folder / f"{gateway}.log").write_text("\n".join(lines))

    def test_log_is_read_by_a_process_that_is_preempted(self):
        self.log_of_gateway((49.0, (50.0, 8)))
        self.clock.stop()
        for preemptions in (1, checks.CLOCK_READINGS - 1):
            with self.subTest(preemptions=preemptions), \
                    unittest.mock.patch.object(checks, "time", PreemptedClock(preemptions)):
                (start, versions), = checks.gateway_processes(self.folder / "gateway-0.log")
                self.assertAlmostEqual(49.0, start, places=5)
                self.assertAlmostEqual(50.0, versions[0][0], places=5)

    def published_config(self, in_force_at, observed_until=200.0):
        """Version 9 is acknowledged at 100 s and comes into force then."""
        self.record_event("config", 50.0, version=8, keys=[])
        self.record_event("config", 100.0, version=9, keys=[])
        self.attempts.append(attempt(request="last", ended_at=observed_until))
        self.log_of_gateway((49.0, (50.0, 8), *([(in_force_at, 9)] if in_force_at else [])))

    def test_config_in_force(self):
        for in_force_at, rules in ((102.4, []), (103.0, ["configInForce"]), (None, ["configInForce"])):
            with self.subTest(in_force_at=in_force_at):
                self.attempts, self.journal.entries = [], []
                self.published_config(in_force_at)
                self.assertEqual(rules, self.violated_rules(checks.config_is_in_force))

    def test_newer_config_counts_as_in_force(self):
        self.published_config(None)
        self.log_of_gateway((49.0, (50.0, 8), (101.0, 10)))
        self.assertEqual([], self.violated_rules(checks.config_is_in_force))

    def test_config_whose_time_is_not_over_is_not_judged(self):
        self.published_config(None, observed_until=102.0)
        self.assertEqual([], self.violated_rules(checks.config_is_in_force))

    def test_config_is_late_after_a_disturbance_of_the_store(self):
        for kind, gateway, in_force_at, rules in (("store_restored", "gateway-1", 105.6, []),
                                                  ("store_restored", "gateway-1", 106.0, ["configInForce"]),
                                                  ("store_cut", "gateway-0", 105.6, []),
                                                  ("store_cut", "gateway-1", 105.6, ["configInForce"]),
                                                  ("server_crashed", "gateway-0", 105.6, ["configInForce"])):
            with self.subTest(kind=kind, gateway=gateway, in_force_at=in_force_at):
                self.attempts, self.journal.entries = [], []
                self.published_config(in_force_at)
                self.fault(kind, 100.5, 102.0, gateway=gateway)
                self.assertEqual(rules, self.violated_rules(checks.config_is_in_force))

    def test_restarted_gateway_has_the_config_again(self):
        self.published_config(101.0)
        self.fault("gateway_killed", 101.1, 101.5)
        self.log_of_gateway((49.0, (50.0, 8), (101.0, 9)), (101.4,))
        self.assertEqual(["configInForce"], self.violated_rules(checks.config_is_in_force))
        self.log_of_gateway((49.0, (50.0, 8), (101.0, 9)), (101.4, (101.6, 9)))
        self.assertEqual([], self.violated_rules(checks.config_is_in_force))

    def test_config_goes_back(self):
        for processes, rules in (([(99.0, (100.0, 8), (101.0, 9))], []),
                                 ([(99.0, (100.0, 9), (101.0, 8))], ["configBack"]),
                                 ([(99.0, (100.0, 9), (101.0, 9))], ["configBack"]),
                                 ([(99.0, (100.0, 9)), (100.5, (101.0, 8))], [])):
            with self.subTest(processes=processes):
                self.log_of_gateway(*processes)
                self.assertEqual(rules, self.violated_rules(checks.config_never_goes_back))

    def test_start_that_is_logged_after_the_first_config(self):
        """The lines of two threads may be in the wrong order; their times are right (seed 8)."""
        self.published_config(101.0)
        log = self.folder / "gateway-0.log"
        log.write_text("\n".join(reversed(log.read_text().splitlines())))
        self.assertEqual([], self.violated_rules(checks.config_is_in_force))
        self.assertEqual([], self.violated_rules(checks.config_never_goes_back))

    def test_denied_key_is_allowed_again(self):
        self.record_event("keyWithdrawn", 100.0, key="k", acknowledged=100.0)
        self.attempts += [attempt(request="r0", sent_at=101.0, ended_at=101.1, status=401),
                          attempt(request="r1", sent_at=101.5, ended_at=101.6)]
        self.assertEqual([], self.violated_rules(checks.config_never_goes_back))
        self.records.append(run(request="r1"))
        self.assertEqual(["configBack"], self.violated_rules(checks.config_never_goes_back))
        self.attempts[0] = attempt(request="r0", gateway="gateway-1", sent_at=101.0, ended_at=101.1, status=401)
        self.assertEqual([], self.violated_rules(checks.config_never_goes_back))
        self.attempts[0] = attempt(request="r0", sent_at=101.0, ended_at=101.1, status=401)
        self.log_of_gateway((90.0,), (101.2,))
        self.assertEqual([], self.violated_rules(checks.config_never_goes_back))

    def test_key_is_denied_until_its_config_is_in_force(self):
        self.record_event("keyWithdrawn", 110.0, key="k", acknowledged=110.0)
        self.attempts += [attempt(request="r0", sent_at=101.0, ended_at=101.1, status=401),
                          attempt(request="r1", sent_at=111.0, ended_at=111.1)]
        self.records.append(run(request="r1"))
        self.assertEqual([], self.violated_rules(checks.config_never_goes_back))

    def test_notice_of_a_leaving_server_that_a_restore_lost(self):
        """A restore before the gateways knew excuses them, a later one does not."""
        for start, end, rules in ((100.5, 101.0, []), (102.1, 102.2, ["leavingServer"])):
            with self.subTest(start=start):
                self.attempts, self.records, self.journal.entries = [attempt(sent_at=102.5)], [], []
                self.record_event("listed", 100.0, server="i-1-1", state="draining")
                self.records.append(record("arrived", 102.6))
                self.fault("store_restored", start, end)
                self.assertEqual(rules, self.violated_rules(checks.leaving_servers_get_nothing))

    def test_leaving_server(self):
        self.record_event("listed", 100.0, server="i-1-1", state="draining")
        self.attempts.append(attempt(sent_at=102.5))
        self.records.append(record("arrived", 102.2))
        self.assertEqual([], self.violated_rules(checks.leaving_servers_get_nothing))
        self.records[0] = record("arrived", 102.6)
        self.assertEqual(["leavingServer"], self.violated_rules(checks.leaving_servers_get_nothing))
        self.fault("store_cut", 99.0, 103.0, gateway="gateway-1")
        self.assertEqual(["leavingServer"], self.violated_rules(checks.leaving_servers_get_nothing))
        self.fault("store_fails", 99.0, 103.0)
        self.assertEqual([], self.violated_rules(checks.leaving_servers_get_nothing))

    def test_server_that_leaves_by_its_answer(self):
        self.attempts += [attempt(request="r0", leaving_server="i-1-1", head_at=100.0),
                          attempt(sent_at=102.1)]
        self.records.append(record("arrived", 102.2))
        self.assertEqual([], self.violated_rules(checks.servers_leaving_by_answer_get_nothing))
        self.records[0] = record("arrived", 102.4)
        self.assertEqual(["leavingByAnswer"],
                         self.violated_rules(checks.servers_leaving_by_answer_get_nothing))
        for fields in ({"sent_at": 101.9}, {"gateway": "gateway-1"}):
            self.attempts[1] = attempt(**{"sent_at": 102.1, **fields})
            self.assertEqual([], self.violated_rules(checks.servers_leaving_by_answer_get_nothing))
        self.attempts[1] = attempt(sent_at=102.1)
        self.records[0] = record("arrived", 102.4, server="i-1-2")
        self.assertEqual([], self.violated_rules(checks.servers_leaving_by_answer_get_nothing))

    def test_restarted_gateway_does_not_know_that_a_server_leaves(self):
        self.attempts += [attempt(request="r0", leaving_server="i-1-1", head_at=100.0),
                          attempt(sent_at=102.1)]
        self.records.append(record("arrived", 102.4))
        for process, at in (("gateway-1", 101.0), ("gateway-0", 99.9), ("gateway-0", 102.5)):
            self.record_event("started", at, process=process)
        self.assertEqual(["leavingByAnswer"],
                         self.violated_rules(checks.servers_leaving_by_answer_get_nothing))
        self.record_event("started", 101.0, process="gateway-0")
        self.assertEqual([], self.violated_rules(checks.servers_leaving_by_answer_get_nothing))

    def test_planned_stop(self):
        self.record_event("signal", 100.1, process="gateway-0", signal="SIGTERM")
        self.fault("gateway_terminated", 100.1, 103.0)
        self.records.append(run())
        self.attempts.append(attempt())
        self.assertEqual([], self.violated_rules(checks.planned_stops_cut_nothing))
        self.attempts[0] = attempt(outcome="broken")
        self.assertEqual(["plannedStop"], self.violated_rules(checks.planned_stops_cut_nothing))
        self.fault("gateway_killed", 100.1, 100.2, gateway="gateway-1")
        self.assertEqual(["plannedStop"], self.violated_rules(checks.planned_stops_cut_nothing))
        self.fault("server_crashed", 100.1, 100.2, server="i-1-4")
        self.assertEqual([], self.violated_rules(checks.planned_stops_cut_nothing))

    def short_stop(self, outcome="broken", end=102.2, server="i-1-1", status=502):
        """A request that ends so while its server, or another one, stops at 100.2 s."""
        self.journal.entries.clear()
        self.fault("server_paused", 100.2, end, server=server)
        self.records[:] = [run()]
        self.attempts[:] = [attempt(outcome=outcome, ended_at=103, status=status)]

    def test_short_stop(self):
        for outcome, rules in (("served", []), ("refused", []), ("gaveUp", []), ("broken", ["shortStop"]),
                               ("failed", ["shortStop"])):
            with self.subTest(outcome=outcome):
                self.short_stop(outcome)
                self.assertEqual(rules, self.violated_rules(checks.short_stops_cut_nothing))

    def test_denied_request_is_not_cut_by_a_short_stop(self):
        for status, rules in ((401, []), (404, []), (500, ["shortStop"]), (504, ["shortStop"])):
            with self.subTest(status=status):
                self.short_stop("failed", status=status)
                self.assertEqual(rules, self.violated_rules(checks.short_stops_cut_nothing))

    def test_request_at_a_stopped_server_that_did_not_run(self):
        self.short_stop("failed")
        self.records.clear()
        self.assertEqual(["shortStop"], self.violated_rules(checks.short_stops_cut_nothing))
        self.fault("server_paused", 100.2, 102.2, server="i-2-1")
        self.assertEqual(["shortStop"], self.violated_rules(checks.short_stops_cut_nothing))
        self.fault("link_reset", 100.2, 100.3, server="i-3-1")
        self.assertEqual([], self.violated_rules(checks.short_stops_cut_nothing))

    def test_other_stops_are_excused(self):
        for end, server in ((102.6, "i-1-1"), (102.2, "i-2-1")):
            with self.subTest(end=end, server=server):
                self.short_stop(end=end, server=server)
                self.assertEqual([], self.violated_rules(checks.short_stops_cut_nothing))

    def test_short_stop_beside_another_fault(self):
        for kind, server, rules in (("server_paused", "i-1-1", []), ("server_crashed", "i-1-1", []),
                                    ("link_slow", "i-1-1", []), ("server_crashed", "i-2-1", ["shortStop"]),
                                    ("store_cut", "i-1-1", ["shortStop"])):
            with self.subTest(kind=kind, server=server):
                self.short_stop()
                self.fault(kind, 102, 102.5, server=server)
                self.assertEqual(rules, self.violated_rules(checks.short_stops_cut_nothing))

    def test_given_up_work(self):
        for number in range(4):
            self.attempts.append(attempt(request=f"r{number}", kind="streams", gave_up=True))
            self.records.append(record("ended", 100.9, request=f"r{number}"))
        self.assertEqual([], self.violated_rules(checks.given_up_work_ends))
        for one in self.records[:3]:
            one["at"] = 101.1
        self.assertEqual(["givenUp"], self.violated_rules(checks.given_up_work_ends))

    def test_retry_budget(self):
        self.attempts.append(attempt())
        self.records += [record("arrived", 100.0)] * 151
        self.assertEqual([], self.violated_rules(checks.retries_stay_in_budget))
        self.records.append(record("arrived", 100.0))
        self.assertEqual(["retryBudget"], self.violated_rules(checks.retries_stay_in_budget))

    def test_gateway_that_does_not_end(self):
        self.record_event("exited", 105.0, process="gateway-0", signal="SIGTERM", code=0)
        self.assertEqual([], self.violated_rules(checks.gateways_stay_up))
        self.record_event("exited", 105.0, process="gateway-0", signal="SIGTERM", code=None)
        self.assertEqual(["cleanExit"], self.violated_rules(checks.gateways_stay_up))

    # Another fault paused the process until after its drain timeout (seed 58).
    def test_stopped_gateway_cannot_end(self):
        self.record_event("signal", 102.7, process="gateway-0", signal="SIGSTOP")
        self.record_event("exited", 105.0, process="gateway-0", signal="SIGTERM", code=None)
        self.assertEqual([], self.violated_rules(checks.gateways_stay_up))
        self.record_event("signal", 104.0, process="gateway-0", signal="SIGCONT")
        self.assertEqual(["cleanExit"], self.violated_rules(checks.gateways_stay_up))

    def test_stop_that_comes_after_the_drain_was_due(self):
        self.record_event("signal", 104.7, process="gateway-0", signal="SIGSTOP")
        self.record_event("exited", 105.0, process="gateway-0", signal="SIGTERM", code=None)
        self.assertEqual(["cleanExit"], self.violated_rules(checks.gateways_stay_up))

    def test_gateway_that_ends_by_itself(self):
        self.record_event("diedByItself", 100.0, process="gateway-0", code=-6)
        self.record_event("exited", 105.0, process="gateway-0", signal="SIGTERM", code=1)
        self.assertEqual(["cleanExit", "staysUp"], self.violated_rules(checks.gateways_stay_up))

    def test_recovery(self):
        self.record_event("faultsOver", 90.0)
        self.attempts += [attempt(request=f"r{number}") for number in range(9)]
        self.attempts.append(attempt(request="r9", outcome="refused", status=503))
        self.assertEqual([], self.violated_rules(checks.service_recovers))
        self.attempts[0] = attempt(request="r0", outcome="broken")
        self.assertEqual(["recovers"], self.violated_rules(checks.service_recovers))


class RecordsTest(unittest.TestCase):
    @staticmethod
    def gateway_line(event, version):
        fields = {"time": "2026-01-01T00:00:00.000Z", "event": event, "version": str(version)}
        return json.dumps(fields, separators=(",", ":"))

    # The scripts read the log of a gateway that runs.
    def test_line_that_is_being_written_is_left_out(self):
        whole = [self.gateway_line("configInForce", 1), self.gateway_line("started", 0),
                 self.gateway_line("configInForce", 2)]
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "gateway-0.log"
            for last in ("", self.gateway_line("configInForce", 3)[:-5]):
                with self.subTest(last=last):
                    log.write_text("\n".join(whole) + "\n" + last)
                    entries = gateway_entries(log, "configInForce")
                    self.assertEqual(["1", "2"], [entry["version"] for entry in entries])

    # A restarted process appends to the line of the killed one.
    def test_line_after_a_truncated_one_is_read(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            lines = [json.dumps({"at": at, "event": "run"}) for at in (1, 2, 3)]
            (folder / "server-0.jsonl").write_text(lines[0] + "\n" + lines[1][:-6] + lines[2] + "\n")
            self.assertEqual([1, 3], [record["at"] for record in server_records(folder)])
            started = self.gateway_line("started", 2)
            (folder / "gateway-0.log").write_text(started + "\n" + self.gateway_line("stopped", 0)[:-9] + started + "\n")
            self.assertEqual(["2", "2"], [entry["version"] for entry in
                                          gateway_entries(folder / "gateway-0.log", "started")])


if __name__ == "__main__":
    unittest.main()
