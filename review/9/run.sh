#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python=/usr/bin/python3
[ -x "$python" ] || python=python3
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec "$python" case.py
