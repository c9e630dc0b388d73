#!/usr/bin/env bash
# See claim.txt. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the cut.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 110 python3 -B play.py
