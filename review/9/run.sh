#!/bin/sh
# Plays the case of this folder; exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves out the disruption; the script reads it from its environment.
cd "$(dirname "$0")" || exit 2
exec env TROUBLE="${TROUBLE:-1}" PYTHONPATH=../stand_ins_2 ../../.venv/bin/python -B case.py
