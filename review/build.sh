#!/bin/sh
# Builds the stand-ins of all cases. They are Python and need nothing but the environment of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - <<'END'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
