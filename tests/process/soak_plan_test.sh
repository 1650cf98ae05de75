#!/usr/bin/env bash
# Guards against a soak whose seed does not determine its faults, so that a run with a violation
# cannot be repeated.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/soak-plan.sh

plan() { plan_faults "$1" 12 72 15; }

for seed in 1 4 434; do
    first=$(plan $seed)
    [ -n "$first" ] || { echo "the plan of seed $seed is empty"; exit 1; }
    [ "$(plan $seed)" = "$first" ] || { echo "seed $seed has two plans"; exit 1; }
    [ "$(plan $((seed + 1)))" != "$first" ] || { echo "the plan ignores seed $seed"; exit 1; }
    sort -n -c <<< "$(cut -d ' ' -f 1 <<< "$first")" || { echo "seed $seed is not in order"; exit 1; }
done
echo "passed"
