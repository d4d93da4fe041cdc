#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
