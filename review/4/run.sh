#!/usr/bin/env bash
# Exits with 1 if rule ONE was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")"
exec env PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 \
  python3 case.py
