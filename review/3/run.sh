#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
CASE_DIR=$here PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=$here/../standin exec timeout -k 5 120 python3 "$here/check.py"
