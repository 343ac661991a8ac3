#!/usr/bin/env bash
# The stand-ins of this review (review/standin2) are Python 3.11 without packages and need no build; this checks that they
# can be read and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11)
for folder in ("review/standin2", "review/5", "review/6", "review/7", "review/8"):
    for path in pathlib.Path(folder).rglob("*.py"):
        ast.parse(path.read_text())
PY
test -x target/release/quincehatch-platform || cargo build --release --locked --offline --package quincehatch-platform
