#!/bin/sh
# The stand-ins of review/lib-2 and review/6 to review/10, and the probes, are plain scripts for
# Node without dependencies: nothing is compiled, they are only checked.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs probes-2/*/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
