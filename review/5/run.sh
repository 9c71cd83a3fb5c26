#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. SEED draws the clients' moments and keys (default 1).
cd "$(dirname "$0")" || exit 2
exec python3 case.py
