#!/usr/bin/env bash
# Measures the processor time per lookup for several shard counts at a constant rate of target
# calls, with dispatch through homes and with direct connections, on seven hosts.
# Usage: scripts/experiments/shard-cost.sh [CSV FILE]
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh build > /dev/null

csv=${1:-}
hosts=7
calls_per_second=${CALLS:-1200}
length=${LENGTH:-8s}

for dispatch in homes direct; do
    for shards in 6 12 24 48; do
        (
            source scripts/fleet.sh
            start_fleet "$hosts" "$shards" "$dispatch" --slots=6 --connections=45 --service-time=3ms
            service_settings dispatch "$shards" 1 6 45 | apply_first signals "$hosts"
            load() {
                build/load_tool --hosts="$(address_list caller_address "$hosts")" \
                    --service=dispatch --rate=$((calls_per_second / shards)) "$@"
            }
            load --length=2s --seed=2 > /dev/null
            printf '\n== %s, %s shards\n' "$dispatch" "$shards"
            load --length="$length" --label="$dispatch-$shards" ${csv:+--csv="$csv"} \
                | grep -vE '^lookups-'
        )
    done
done
