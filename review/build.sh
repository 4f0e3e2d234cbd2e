#!/bin/sh
# The stand-ins of the cases are plain JavaScript that Node runs as it is; there
# is nothing to compile. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
