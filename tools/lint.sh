#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all; needs a configured build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' | grep -vE '/tests/|\.capnp\.')
fi
printf '%s\n' "${files[@]}" \
    | xargs -r -n 1 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
