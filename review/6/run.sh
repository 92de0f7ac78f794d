#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Two parts: a version that rises far (case.py), and versions that have risen one by one (grown.py).
cd "$(dirname "$0")" || exit 2
python3 -B case.py
rise=$?
SECOND_PART=1 python3 -B grown.py
grown=$?
case "$rise$grown" in
    *1*) exit 1 ;;
    00) exit 0 ;;
    *) exit 2 ;;
esac
