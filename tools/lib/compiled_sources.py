#!/usr/bin/env python3
"""Prints the sources in the compilation database of a build directory, largest first.

usage: compiled_sources.py BUILD_DIR

The size of a unity source is that of the sources it includes, so that the longest run starts first.
"""

import json
import pathlib
import re
import sys


def source_bytes(path):
    text = path.read_text()
    joined = re.findall(r'^#include "(/.*\.cpp)"$', text, re.MULTILINE)
    return sum(pathlib.Path(source).stat().st_size for source in joined) or len(text)


def main():
    database = pathlib.Path(sys.argv[1]) / "compile_commands.json"
    sources = {pathlib.Path(entry["file"]) for entry in json.loads(database.read_text())}
    for source in sorted(sources, key=source_bytes, reverse=True):
        print(source)


main()
