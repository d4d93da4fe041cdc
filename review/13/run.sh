#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program=target/bin/gooseberrywall-edge
cell=target/review-3/bin/gooseberrywall-review-3
if [ ! -x "$program" ] || [ ! -x "$cell" ]; then
    echo "build first: the deploy file's build, then review/build-3.sh" >&2
    exit 2
fi
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$cell" lost-watch "$program" "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
tail -n 2 "$here/record.txt"
[ "$result" -le 1 ] || exit 2
exit "$result"
