#!/usr/bin/env python3
"""Reports using-declarations of sources whose name the source does not use.

usage: unused_usings.py FILE...

Replaces clang-tidy's misc-unused-using-decls, which checks main files only and so finds nothing in
the unity sources of tools/lint. Exits 1 when there is such a declaration.
"""

import pathlib
import re
import sys

DECLARATION = re.compile(r"^[ \t]*using\s+(?:\w+::)+(\w+)\s*;", re.MULTILINE)
IGNORED = re.compile(r'//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\\n])*"', re.DOTALL)


def find_unused(text):
    """Yields line and name of each declared name that is used neither by itself nor as a scope."""
    code = IGNORED.sub(lambda match: "\n" * match.group().count("\n"), text)
    for declaration in DECLARATION.finditer(code):
        name = declaration.group(1)
        rest = code[:declaration.start()] + code[declaration.end():]
        if not re.search(rf"(?<![\w:.])(?<!->){name}\b", rest):
            yield code.count("\n", 0, declaration.start(1)) + 1, name


def main():
    found = 0
    for path in sys.argv[1:]:
        for line, name in find_unused(pathlib.Path(path).read_text()):
            print(f"{path}:{line}: error: using decl '{name}' is unused")
            found += 1
    return 1 if found else 0


sys.exit(main())
