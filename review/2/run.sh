#!/usr/bin/env bash
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
env PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 \
  python3 -c 'import runpy, tomllib; runpy.run_path("case.py", run_name="__main__")'
code=$?
[ "$code" -le 1 ] || code=2
# Without a whole record it is not known whether the rule was broken.
[ "$(tail -n 1 record.txt | sed 's/.* exit/exit/')" = "exit $code" ] || code=2
exit "$code"
