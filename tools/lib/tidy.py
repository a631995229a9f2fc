#!/usr/bin/env python3
"""Runs clang-tidy on the sources of a compilation database, side by side.

usage: tidy.py [--all] BUILD_DIR [CLANG_TIDY_ARGUMENT...] < SOURCES

A source is skipped when nothing that clang-tidy reads for it has changed since a run that found nothing; --all skips
none. Only runs without a finding are remembered, in $XDG_CACHE_HOME/foxtailring-lint or ~/.cache/foxtailring-lint.
Exits 1 when there is a finding.
"""

import collections
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import shutil
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONFIG_NAME = ".clang-tidy"
# Part of each key; to be changed together with what a key covers.
KEY_FORMAT = "1"
# Keys of older revisions; each one is an empty file.
KEPT_UNUSED_SECONDS = 30 * 24 * 3600

# The line markers of preprocessed text name each file that was read.
LINE_MARKER = re.compile(rb'^# \d+ "([^"\n]+)"', re.MULTILINE)


class CleanRuns:
    """Keys of the runs without a finding, as empty files in a folder."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)

    def holds(self, key):
        try:
            os.utime(self.folder / key)
        except OSError:
            return False
        return True

    def add(self, key):
        """Remembers the key; a folder that cannot be written remembers nothing."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            (self.folder / key).touch()
        except OSError:
            pass

    def remove_unused(self):
        try:
            for path in self.folder.iterdir():
                if time.time() - path.stat().st_mtime > KEPT_UNUSED_SECONDS:
                    path.unlink()
        except OSError:
            pass


class Linter:
    """clang-tidy with fixed arguments, for the sources of one build directory."""

    def __init__(self, build, arguments, root=ROOT):
        self.build = pathlib.Path(build)
        self.arguments = list(arguments)
        self.root = pathlib.Path(root).resolve()
        self.program = shutil.which("clang-tidy")
        self.version = subprocess.run([self.program, "--version"], stdout=subprocess.PIPE, check=True).stdout
        self.preprocessor = preprocessor_beside(self.program)
        self.entries = collections.defaultdict(list)
        for entry in json.loads((self.build / "compile_commands.json").read_text()):
            self.entries[pathlib.Path(entry["directory"], entry["file"])].append(entry)

    def run(self, source):
        """Returns the findings in a source; empty: none."""
        command = [self.program, "--quiet", "-p", str(self.build), *self.arguments, str(source)]
        result = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, check=False)
        if result.returncode == 0 or result.stdout:
            return result.stdout
        return result.stderr + f"{source}: clang-tidy ended with {result.returncode}\n".encode()

    def key_of(self, source):
        """Returns a hash of all that clang-tidy reads for a source, or None when it cannot be told."""
        entries = self.entries.get((self.root / source), [])
        if not entries or not self.preprocessor:
            return None
        parts = [KEY_FORMAT, self.version, *self.arguments]
        files = set()
        for entry in entries:
            command = command_of(entry)
            text = self.preprocess(command, entry["directory"])
            if text is None:
                return None
            parts += [*command, text]
            files |= self.own_files(text, entry["directory"])
        try:
            for path in sorted(files | configs_for(files)):
                parts += [str(path), path.read_bytes()]
        except OSError:
            return None
        return self.hash_of(parts)

    def preprocess(self, command, folder):
        # Comments and macro definitions are kept, since there are checks of both. clang-tidy defines the macro.
        options = ["-E", "-C", "-dD", "-w", "-D__clang_analyzer__"]
        result = subprocess.run([self.preprocessor, *command[1:], *options], cwd=folder, stdout=subprocess.PIPE,
                                stderr=subprocess.DEVNULL, check=False)
        return result.stdout if result.returncode == 0 else None

    def own_files(self, text, folder):
        """Returns the files of the checkout that a preprocessed text was made from."""
        names = {os.fsdecode(name) for name in LINE_MARKER.findall(text)}
        paths = {pathlib.Path(os.path.normpath(os.path.join(folder, name))) for name in names if name[0] != "<"}
        return {path for path in paths if self.root in path.parents and path.is_file()}

    def hash_of(self, parts):
        """Hashes the parts without the folder of the checkout, so that other checkouts get the same key."""
        total = hashlib.sha256()
        root = re.compile(re.escape(os.fsencode(self.root)) + rb"(?![\w.-])")
        for part in parts:
            data = root.sub(b"<root>", part if isinstance(part, bytes) else part.encode())
            total.update(f"{len(data)}:".encode() + data)
        return total.hexdigest()


def preprocessor_beside(program):
    """Returns the clang++ of the same LLVM as clang-tidy, or another one, or None."""
    beside = pathlib.Path(program).resolve().with_name("clang++")
    return str(beside) if beside.exists() else shutil.which("clang++")


def command_of(entry):
    """Returns the arguments of a compilation without its output."""
    arguments = entry.get("arguments") or shlex.split(entry["command"])
    kept = [arguments[0]]
    for before, argument in zip(arguments, arguments[1:]):
        if argument not in ("-c", "-o") and before != "-o":
            kept.append(argument)
    return kept


def configs_for(files):
    """Returns the configurations of clang-tidy in the folders above the files."""
    folders = {folder for path in files for folder in path.parents}
    return {folder / CONFIG_NAME for folder in folders if (folder / CONFIG_NAME).is_file()}


def check(linter, clean_runs, source, is_cached):
    """Returns the findings in a source, or None when it is unchanged since a run without one."""
    key = linter.key_of(source)
    if is_cached and key and clean_runs.holds(key):
        return None
    findings = linter.run(source)
    # A file that was changed meanwhile may have been read in either state.
    if not findings and key and linter.key_of(source) == key:
        clean_runs.add(key)
    return findings


def check_all(linter, clean_runs, sources, is_cached):
    """Checks the sources side by side and prints the findings; returns the numbers checked, unchanged and failed."""
    checked = unchanged = failed = 0
    with concurrent.futures.ThreadPoolExecutor(processor_count()) as pool:
        runs = [pool.submit(check, linter, clean_runs, source, is_cached) for source in sources]
        for run in concurrent.futures.as_completed(runs):
            findings = run.result()
            unchanged += findings is None
            checked += findings is not None
            failed += bool(findings)
            sys.stdout.write((findings or b"").decode(errors="replace"))
    return checked, unchanged, failed


def processor_count():
    """Returns what nproc prints, which OMP_NUM_THREADS can lower."""
    return int(subprocess.run(["nproc"], stdout=subprocess.PIPE, check=True).stdout)


def cache_folder():
    return pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache", "foxtailring-lint")


def main():
    arguments = sys.argv[1:]
    is_cached = arguments[0] != "--all"
    build, *rest = arguments[not is_cached:]
    clean_runs = CleanRuns(cache_folder())
    clean_runs.remove_unused()
    sources = sys.stdin.read().splitlines()
    checked, unchanged, failed = check_all(Linter(build, rest), clean_runs, sources, is_cached)
    print(f"{build}: {checked} sources checked, {failed} of them with findings, {unchanged} unchanged and skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
