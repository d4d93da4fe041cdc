#!/usr/bin/env bash
# Formats all sources; with --check, changes nothing and fails if a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
    mode=(--dry-run -Werror)
fi
git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v '\.capnp\.' \
    | xargs -r -n 20 -P "$(nproc)" clang-format "${mode[@]}"
