"""Tests of tidy.py, which skips sources that clang-tidy found nothing in before.

A script stands in for clang-tidy: it finds something in a source when that or the header contains BAD.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tools" / "lib"))
import tidy  # noqa: E402

STAND_IN = """#!/bin/sh
here=$(dirname "$0")
if [ "$1" = --version ]; then
    cat "$here/version"
    exit
fi
echo run >>"$here/runs"
for last; do :; done
cd "$(dirname "$last")"
[ ! -f "$here/hook" ] || . "$here/hook"
if grep -n BAD one.cpp header.h; then
    exit 1
fi
[ ! -f "$here/crashes" ] || exit 139
"""
CLEAN_HEADER = "#pragma once\nint first();\n"


class TidyTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name).resolve()
        self.tools = self.folder / "bin"
        self.tools.mkdir()
        (self.tools / "version").write_text("14.0.6")
        program = self.tools / "clang-tidy"
        program.write_text(STAND_IN)
        program.chmod(0o755)
        path = os.environ["PATH"]
        self.addCleanup(os.environ.__setitem__, "PATH", path)
        os.environ["PATH"] = f"{self.tools}:{path}"
        self.clean_runs = tidy.CleanRuns(self.folder / "cache")
        self.root = self.checkout("first")

    def checkout(self, name, option="-Wall"):
        root = self.folder / name
        (root / "build").mkdir(parents=True)
        (root / ".clang-tidy").write_text("Checks: a")
        (root / "one.cpp").write_text(f'#include "{root}/header.h"\nint second();\n')
        (root / "header.h").write_text(CLEAN_HEADER)
        self.compile_with(root, option)
        return root

    def compile_with(self, root, option):
        entry = {"directory": str(root / "build"), "file": str(root / "one.cpp"),
                 "command": f"/usr/bin/c++ {option} -I{root} -o one.o -c {root}/one.cpp"}
        (root / "build" / "compile_commands.json").write_text(json.dumps([entry]))

    def check(self, *arguments, root=None, is_cached=True):
        """Returns the findings; None: skipped."""
        root = root or self.root
        return tidy.check(tidy.Linter(root / "build", arguments, root), self.clean_runs, root / "one.cpp", is_cached)

    def assert_clean_and_skipped_next_time(self):
        self.assertEqual(b"", self.check())
        self.assertIsNone(self.check())

    def assert_checked_again(self, *arguments):
        self.assertEqual(b"", self.check(*arguments))

    def test_unchanged_source_is_skipped(self):
        self.assert_clean_and_skipped_next_time()
        self.assertEqual("run\n", (self.tools / "runs").read_text())

    def test_unchanged_source_in_another_checkout_is_skipped(self):
        self.assert_clean_and_skipped_next_time()
        self.assertIsNone(self.check(root=self.checkout("second")))

    def test_finding_is_reported_each_time(self):
        (self.root / "one.cpp").write_text('#include "header.h"\nint BAD();\n')
        for _ in range(2):
            self.assertIn(b"BAD", self.check())

    def test_run_that_crashed_is_reported_each_time(self):
        (self.tools / "crashes").touch()
        for _ in range(2):
            self.assertIn(b"ended with 139", self.check())

    def test_finding_in_a_header_that_changed_is_reported(self):
        self.assert_clean_and_skipped_next_time()
        (self.root / "header.h").write_text(f"{CLEAN_HEADER}int BAD();\n")
        self.assertIn(b"BAD", self.check())

    def test_changed_comment_is_checked(self):
        """A NOLINT that is gone may uncover a finding."""
        self.assert_clean_and_skipped_next_time()
        for text in (f"{CLEAN_HEADER}// NOLINT\n", CLEAN_HEADER.replace("once", "once // NOLINT")):
            (self.root / "header.h").write_text(text)
            self.assert_checked_again()

    def test_changed_text_that_is_not_compiled_is_checked(self):
        self.assert_clean_and_skipped_next_time()
        for text in ("#define UNUSED 1\n", "#define UNUSED 2\n", "#if 0\nint third();\n#endif\n"):
            (self.root / "header.h").write_text(CLEAN_HEADER + text)
            self.assert_checked_again()

    def test_changed_header_of_the_system_is_checked(self):
        system = self.folder / "system"
        system.mkdir()
        (system / "library.h").write_text("int third();\n")
        (self.root / "one.cpp").write_text('#include "header.h"\n#include <library.h>\n')
        self.compile_with(self.root, f"-isystem {system}")
        self.assert_clean_and_skipped_next_time()
        (system / "library.h").write_text("int fourth();\n")
        self.assert_checked_again()

    def test_changed_configuration_is_checked(self):
        self.assert_clean_and_skipped_next_time()
        (self.root / ".clang-tidy").write_text("Checks: b")
        self.assert_checked_again()

    def test_other_tool_version_is_checked(self):
        self.assert_clean_and_skipped_next_time()
        (self.tools / "version").write_text("15.0.0")
        self.assert_checked_again()

    def test_other_arguments_are_checked(self):
        self.assert_clean_and_skipped_next_time()
        self.assert_checked_again("--checks=c")

    def test_other_command_line_is_checked(self):
        self.assert_clean_and_skipped_next_time()
        self.compile_with(self.root, "-Wextra")
        self.assert_checked_again()

    def test_all_checks_unchanged_sources(self):
        self.assert_clean_and_skipped_next_time()
        self.assertEqual(b"", self.check(is_cached=False))

    def test_source_that_changed_during_its_run_is_not_remembered(self):
        """The state before the change was not checked, but would be skipped."""
        (self.root / "header.h").write_text("int BAD();\n")
        (self.tools / "hook").write_text("echo 'int first();' >header.h\n")
        self.assertEqual(b"", self.check())
        (self.tools / "hook").unlink()
        (self.root / "header.h").write_text("int BAD();\n")
        self.assertIn(b"BAD", self.check())

    def test_source_that_cannot_be_preprocessed_is_checked(self):
        (self.root / "one.cpp").write_text('#include "header.h"\n#include "missing.h"\n')
        for _ in range(2):
            self.assertEqual(b"", self.check())

    def test_cache_folder_that_cannot_be_written_skips_nothing(self):
        (self.folder / "cache").write_text("a file")
        for _ in range(2):
            self.assertEqual(b"", self.check())

    def test_program_counts_sources_and_fails_with_a_finding(self):
        environment = {**os.environ, "XDG_CACHE_HOME": str(self.folder / "cache")}

        def run(*arguments):
            result = subprocess.run([sys.executable, str(ROOT / "tools" / "lib" / "tidy.py"), *arguments,
                                     str(self.root / "build")], input=f"{self.root}/one.cpp\n", env=environment,
                                    stdout=subprocess.PIPE, text=True, check=False)
            return result.returncode, result.stdout.splitlines()[-1].partition(": ")[2]

        clean = (0, "1 sources checked, 0 of them with findings, 0 unchanged and skipped")
        self.assertEqual(clean, run())
        self.assertEqual((0, "0 sources checked, 0 of them with findings, 1 unchanged and skipped"), run())
        self.assertEqual(clean, run("--all"))
        (self.root / "header.h").write_text("int BAD();\n")
        self.assertEqual((1, "1 sources checked, 1 of them with findings, 0 unchanged and skipped"), run())


if __name__ == "__main__":
    unittest.main()
