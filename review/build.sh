#!/usr/bin/env bash
# The stand-ins (review/standin) are Python 3.11 without packages and need no build; this checks that they can be started
# and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11)
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text())
PY
test -x target/release/quincehatch-platform || cargo build --release --locked --offline --package quincehatch-platform
