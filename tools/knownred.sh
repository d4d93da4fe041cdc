#!/usr/bin/env bash
# Prints the tests that may fail for a known fault, and fails if a test that may fail isn't listed, or a listed one doesn't exist.
set -euo pipefail
cd "$(dirname "$0")/.."
# Names of tests may be split over several source lines.
found=$(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' | xargs cat | tr -d '\n' | sed 's/"  *"//g' \
    | { grep -oE '"[^"]*", *"[^"]*\[!mayfail\][^"]*"' || true; } | sed -E 's/^"([^"]*)".*/\1/' | sort)
listed=$(sed '/^Seen once/,$d' KNOWN-RED.txt | { grep "^test:" || true; } | sed -E 's/^test: "([^"]*)".*/\1/' | sort)
if [ "$found" != "$listed" ]; then
    printf 'KNOWN-RED.txt and the tests tagged [!mayfail] differ:\n%s\n' "$(diff <(echo "$listed") <(echo "$found"))" >&2
    exit 1
fi
printf 'Tests that may fail for a known fault (KNOWN-RED.txt):\n%s\n' "$listed"
