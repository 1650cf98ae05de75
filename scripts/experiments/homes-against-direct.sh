#!/usr/bin/env bash
# Compares dispatch through homes with hosts that connect to every target, under the same load
# with seven hosts and twelve targets.
# Usage: scripts/experiments/homes-against-direct.sh [CSV FILE]
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh build

csv=${1:-}
hosts=7
targets=12
rate=${RATE:-150}
length=${LENGTH:-10s}

for dispatch in homes direct; do
    (
        source scripts/fleet.sh
        start_fleet "$hosts" "$targets" "$dispatch" --slots=6 --connections=45 --service-time=3ms
        service_settings dispatch "$targets" 2 6 45 | apply_first signals "$hosts"
        load() {
            build/load_tool --hosts="$(address_list caller_address "$hosts")" --service=dispatch \
                --rate="$rate" "$@"
        }
        load --length=3s --seed=2 > /dev/null
        printf '\n== %s\n' "$dispatch"
        load --length="$length" --targets="$(address_list target_address "$targets")" \
            --label="$dispatch" ${csv:+--csv="$csv"}
    )
done
