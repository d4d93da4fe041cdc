#!/usr/bin/env bash
# Builds the project and runs all of its tests.
set -euo pipefail
cd "$(dirname "$0")"
tools/packages.sh
tools/build.sh
exec ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j 4
