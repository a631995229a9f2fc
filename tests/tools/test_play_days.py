"""Tests of play-days with a bench that this test writes."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

BENCH = """#!/usr/bin/env python3
import json, sys
words = sys.argv[1:]
day = open(words[2]).read()
if "misfit" in day:
    sys.exit("no such kind of request")
breaks = {"CONFIG": 2} if "broken" in day else {}
report = words[words.index("--report") + 1]
worth = 0.7 if "--vary" in words else 0.9
json.dump({"G": worth, "breaks": breaks, "fault": None}, open(report, "w"))
"""


class PlayDaysTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        bench = self.folder / "bench"
        bench.write_text(BENCH, encoding="utf-8")
        bench.chmod(0o755)

    def play(self, *words):
        command = [sys.executable, str(ROOT / "tools" / "play-days"), "--bench",
                   str(self.folder / "bench"), "--days", str(self.folder), *words, "site.toml"]
        return subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)

    def add(self, day, text=""):
        (self.folder / f"{day}.toml").write_text(text, encoding="utf-8")

    # Guards against a landing that passes over a broken rule.
    def test_broken_rule_fails(self):
        self.add("quiet")
        self.add("storm", "broken")
        ended = self.play("--seeds", "1")
        self.assertEqual(1, ended.returncode)
        self.assertIn("site storm 1: 0.900 broken: CONFIG x2", ended.stdout)

    def test_every_second_seed_is_varied(self):
        self.add("quiet")
        ended = self.play("--seeds", "2")
        self.assertEqual(0, ended.returncode)
        self.assertIn("site quiet 2 varied: 0.700", ended.stdout)

    def test_earlier_plays_are_shown_beside(self):
        self.add("quiet")
        earlier = self.folder / "earlier"
        entry = {"play": "site quiet 1", "worth": 0.95, "broken": {}, "fault": None}
        earlier.write_text(json.dumps(entry) + "\n", encoding="utf-8")
        ended = self.play("--seeds", "1", "--against", str(earlier))
        self.assertIn("| before: 0.950 broken: - LESS", ended.stdout)

    # Guards against days that are taken for kept since none was played.
    def test_nothing_played_fails(self):
        self.add("other", "misfit")
        ended = self.play("--seeds", "1")
        self.assertEqual(1, ended.returncode)
        self.assertIn("not played: no such kind of request", ended.stdout)


if __name__ == "__main__":
    unittest.main()
