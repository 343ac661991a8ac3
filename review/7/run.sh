#!/usr/bin/env bash
# TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
