#!/usr/bin/env bash
# Checks formatting, lint, shell script syntax, and that the committed RPC sources match the
# schemas. Needs a configured build directory: scripts/check-style.sh [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."

directory=${1:-build}
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v /generated/)
clang-format-14 --dry-run --Werror "${sources[@]}"

for script in $(git ls-files '*.sh' .ci/run); do
    bash -n "$script"
done

generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
for folder in modules/wire modules/store modules/serving; do
    mkdir "$generated/$(basename "$folder")"
    capnp compile -oc++:"$generated/$(basename "$folder")" "--src-prefix=$folder" "$folder"/*.capnp
    diff -r "$generated/$(basename "$folder")" "$folder/generated"
done

# Test macros trigger linter warnings, so only the product and the stand-ins are checked.
git ls-files 'modules/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'standins/*.cpp' \
    | xargs -P "$(nproc)" -n 1 clang-tidy-14 --quiet -p "$directory" 2> "$generated/tidy.log" \
    || { grep -v 'warnings generated' "$generated/tidy.log" >&2; exit 1; }
echo "style: formatted, linted and generated sources up to date"
