#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python alone, so this compiles them. It needs the
# environment that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/peers.py review/sites.py review/6 review/7 review/8 review/9 review/10
