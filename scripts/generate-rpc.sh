#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto sources from their schemas.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in modules/wire modules/store modules/serving; do
    capnp compile "-oc++:$folder/generated" "--src-prefix=$folder" "$folder"/*.capnp
done
