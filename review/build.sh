#!/bin/sh
# The stand-ins are Python programs and need no build. Checks that python3 and the gateway of the deploy file are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
test -x target/apps/foxtailring-gateway || { echo "build the deploy file first" >&2; exit 1; }
