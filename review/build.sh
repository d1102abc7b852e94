#!/usr/bin/env bash
# The stand-ins in review/stage are plain modules of Node.js; this checks that
# each of them, and each case, can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stage/*.mjs [1-5]/case.mjs; do
  node --check "$file"
done
