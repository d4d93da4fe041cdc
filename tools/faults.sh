#!/usr/bin/env bash
# Runs the fault matrix and writes docs/FAULTS.md.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
"${BUILD_DIR:-build}/bin/gooseberrywall-faults" --pairs 100 --write docs/FAULTS.md "$@"
