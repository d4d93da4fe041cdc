#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/ (or $REVIEW_BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")"
build="${REVIEW_BUILD_DIR:-build}"
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$build" -j "${JOBS:-4}" --target review-cell
