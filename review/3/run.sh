#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins exec timeout -k 2 118 python3 case.py
