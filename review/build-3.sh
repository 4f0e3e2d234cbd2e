#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript without
# dependencies, so this only checks that the machine's Node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
