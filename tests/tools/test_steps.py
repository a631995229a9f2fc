"""Tests of steps.sh, which runs the steps of tools/check."""

import os
import pathlib
import re
import select
import subprocess
import tempfile
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

    def test_started_steps_run_side_by_side(self):
        """Each of the steps waits for the other one."""
        with tempfile.TemporaryDirectory() as folder:
            status, output = run_script(f"""
                meet() {{ echo from "$1"; echo >{folder}/$1; until [ -e {folder}/$2 ]; do sleep 0.01; done; }}
                start_step first meet a b
                start_step second meet b a
                await_steps
                step third echo from c""")
        self.assertEqual(0, status)
        self.assertEqual({"first": "passed", "second": "passed", "third": "passed"}, table_of(output))
        for text in ("from a", "from b", "from c"):
            self.assertEqual(1, output.splitlines().count(text))

    def test_failed_step_beside_others_ends_the_script_after_them(self):
        status, output = run_script("""
            fail() { echo before; false; echo reached; }
            start_step first fail
            start_step second sleep 0.2
            await_steps
            step third echo reached""")
        self.assertEqual(1, status)
        self.assertEqual({"first": "failed", "second": "passed"}, table_of(output))
        self.assertIn("\nbefore\n", output)
        self.assertNotIn("reached", output)

    def test_step_that_fails_after_another_one_passed_fails_the_script(self):
        status, output = run_script("""
            start_step first true
            start_step second bash -c 'sleep 0.2; exit 3'
            await_steps""")
        self.assertEqual(3, status)
        self.assertEqual({"first": "passed", "second": "failed"}, table_of(output))

    def test_steps_that_have_ended_before_they_are_awaited_count(self):
        """bash's `wait -n` leaves out children that have ended already."""
        status, output = run_script("""
            start_step first true
            start_step second bash -c 'exit 3'
            until [ -s "$step_folder/first.end" ] && [ -s "$step_folder/second.end" ]; do sleep 0.01; done
            await_steps""")
        self.assertEqual(3, status)
        self.assertEqual({"first": "passed", "second": "failed"}, table_of(output))

    def test_step_that_is_killed_fails_the_script(self):
        status, output = run_script("start_step first true\nstart_step second sleep 1000\nkill -9 -- -$!\nawait_steps")
        self.assertEqual(1, status)
        self.assertEqual({"first": "passed", "second": "failed"}, table_of(output))

    def test_script_that_is_ended_ends_its_steps(self):
        """A step that goes on would use the build directory of the next check."""
        with tempfile.TemporaryDirectory() as folder:
            pipe = pathlib.Path(folder, "pipe")
            os.mkfifo(pipe)
            reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
            self.addCleanup(os.close, reader)
            status, output = run_script(f"""
                hold() {{ bash -c 'exec 3>{pipe}; echo >{folder}/ready; sleep 1000; true'; }}
                start_step first hold
                until [ -e {folder}/ready ]; do sleep 0.01; done
                kill $$
                await_steps""")
            self.assertEqual(143, status)
            self.assertEqual({"first": "stopped"}, table_of(output))
            # The pipe has an end of file when the last process of the step has ended.
            self.assertEqual([reader], select.select([reader], [], [], TIMEOUT_SECONDS)[0])
            self.assertEqual(b"", os.read(reader, 1))


if __name__ == "__main__":
    unittest.main()
