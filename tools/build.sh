#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR), with at most $JOBS compilers at once.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -- -j "${JOBS:-$(nproc)}" --quiet
