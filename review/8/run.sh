#!/usr/bin/env bash
# Runs the case; exit code 1: the rule was broken, 0: held, 2: not run.
cd "$(dirname "$0")"
exec python3 case
