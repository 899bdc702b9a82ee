#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the cut and the grey runner.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/greengageroute ] && [ -x target/bench/review-stand2 ] || { echo "build the programs and run review/build-2.sh first"; exit 2; }
exec target/bench/review-stand2 8 target/greengageroute review/8
