#!/usr/bin/env bash
# Regenerates the Cap'n Proto code after a schema change; the result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in src/*/schema/*.capnp; do
    folder="$(dirname "$schema")"
    capnp compile -I/usr/include --src-prefix="$folder" -oc++:"$folder" "$schema"
    mv "$folder/$(basename "$schema").c++" "$folder/$(basename "$schema").cpp"
done
