#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=.:target/deps
PYTHONPYCACHEPREFIX=target/pycache
export PYTHONPATH PYTHONPYCACHEPREFIX
exec python3 -S review/4/case.py
