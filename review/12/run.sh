#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/briartide.cjs ] || exit 2
exec node review/12/case.mjs
