#!/bin/sh
# The stand-ins of cases 6 to 10 (review/standins2.py and the play.py of each case) are scripts of the Python standard
# library, so nothing is compiled. This checks that they load.
cd "$(dirname "$0")" || exit 1
python3 -m py_compile standins2.py [0-9]*/play.py 2>/dev/null || { echo "a stand-in does not compile" >&2; exit 1; }
find . -name __pycache__ -prune -exec rm -r {} +
