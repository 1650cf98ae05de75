#!/usr/bin/env bash
# Measures the control-plane cost of idle hosts and the time until a settings change is in force
# on all hosts, for several fleet sizes. Usage: scripts/experiments/control-cost.sh [SIZE ...]
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh build > /dev/null

sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(3 7 21)
for hosts in "${sizes[@]}"; do
    (
        source scripts/fleet.sh
        start_fleet "$hosts" 2 homes
        service_settings lots 2 1 6 45 > "$fleet_work/team.ini"
        apply_first signals "$hosts" < "$fleet_work/team.ini"
        build/control_probe --hosts="$(address_list caller_address "$hosts")" --length=10s \
            --team=signals --settings="$fleet_work/team.ini"
    )
done
