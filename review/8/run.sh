#!/usr/bin/env bash
# TROUBLE=0 prepares one statement again and again.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
