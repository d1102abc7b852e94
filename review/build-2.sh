#!/bin/bash
# Builds what the scripts of review/6 to review/10 start. The stand-ins are
# plain modules that need no build step; this checks that they can be loaded.
# The entries are built by the command of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/{stand_ins_2,beyond_2}/*.mjs review/{6,7,8,9,10}/run.mjs; do
  node --check "$file" || exit 1
done
test -f target/briartide.cjs || node scripts/build_deploy.mjs
