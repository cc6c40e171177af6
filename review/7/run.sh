#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the cut watches.
cd "$(dirname "$0")" || exit 2
timeout 115 node case.js
code=$?
# A run that takes too long couldn't run.
if [ "$code" -gt 2 ]; then exit 2; fi
exit "$code"
