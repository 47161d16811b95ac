#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/case-5.mjs ] || exit 2
TROUBLE="${TROUBLE:-1}" exec node target/review/case-5.mjs
