"""Tests of steps.sh, which runs the steps of tools/check."""

import pathlib
import re
import subprocess
import unittest

STEPS = pathlib.Path(__file__).resolve().parent.parent.parent / "tools" / "lib" / "steps.sh"
TIMEOUT_SECONDS = 30


def run_script(text):
    """Runs a script that uses the steps; returns its exit status and its output."""
    script = f"set -euo pipefail\n. {STEPS}\n{text}"
    result = subprocess.run(["bash", "-c", script], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True, timeout=TIMEOUT_SECONDS, check=False)
    return result.returncode, result.stdout


def table_of(output):
    """Returns the result of each step in the table at the end of the output."""
    rows = output.partition("== times\n")[2].splitlines()[1:-1]
    return {row.split()[3]: row.split()[2] for row in rows}


class StepsTest(unittest.TestCase):
    def test_each_step_is_in_the_table(self):
        status, output = run_script("step first true\nstep second echo text")
        self.assertEqual(0, status)
        self.assertEqual({"first": "passed", "second": "passed"}, table_of(output))
        self.assertRegex(output, re.compile(r"^== first: passed after \d+ s$", re.MULTILINE))
        self.assertIn("\ntext\n", output)

    def test_failed_step_ends_the_script_with_its_status_and_the_table(self):
        status, output = run_script("step first true\nstep second exit 7\nstep third echo reached")
        self.assertEqual(7, status)
        self.assertEqual({"first": "passed", "second": "failed"}, table_of(output))
        self.assertNotIn("reached", output)

    def test_function_ends_at_its_first_command_that_fails(self):
        status, output = run_script("fail() { false; echo reached; }\nstep first fail")
        self.assertEqual(1, status)
        self.assertNotIn("reached", output)


if __name__ == "__main__":
    unittest.main()
