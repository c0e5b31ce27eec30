#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; see claim.txt.
cd "$(dirname "$0")" || exit 2
exec timeout 120 python3 case.py
