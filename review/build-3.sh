#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review-3/bin, with the project's modules.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_PROJECT_gooseberrywall_INCLUDE="$PWD/review/standins-3/inject.cmake" >/dev/null
cmake --build target/review-3 --target gooseberrywall-review-3 -j "${JOBS:-4}"
