#!/usr/bin/env bash
# Runs real hosts, callers and the platform stand-in as separate processes, injects faults in a
# sequence that the seed determines, and checks what callers and targets saw.
# Usage: scripts/soak.sh [--seed N] [--seeds FIRST-LAST] [--hosts N] [--length SECONDS]
#                        [--shards N] [--cores SHARE]
# On hosts with a small share of a core, several hosts gather the shards of a lookup.
# Logs and traces of a run with violations are kept in soak-SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
source scripts/platform-fleet.sh
source scripts/soak-checks.sh
source scripts/soak-plan.sh

first_seed=1
last_seed=1
host_count=8
# Faults are injected for so long.
length_s=30
shards=4

while [ $# -gt 0 ]; do
    case $1 in
    --seed) first_seed=$2 last_seed=$2 ;;
    --seeds) first_seed=${2%-*} last_seed=${2#*-} ;;
    --hosts) host_count=$2 ;;
    --length) length_s=$2 ;;
    --shards) shards=$2 ;;
    --cores) FLEET_CORES=$2 ;;
    *) echo "soak.sh: unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
if [ "$host_count" -gt "$FLEET_MOST_HOSTS" ]; then
    FLEET_MOST_HOSTS=$host_count
fi

target_count=$((3 * shards))

is_running() { kill -0 "${fleet_processes[platform-host-$1]}" 2> /dev/null; }

# record EVENT HOST-OR-DASH
record() {
    local address=-
    [ "$2" = - ] || address=127.0.0.1:$(caller_port "$2")
    echo "$(now_ms) $1 $address" >> "$trace/faults"
}

# start_again HOST: starts a host that was killed or told to stop. One that has outlived its grace
# period is killed, as the platform would.
start_again() {
    local host=$1 name=platform-host-$1
    if is_running "$host"; then
        record KILL "$host"
        kill -KILL "${fleet_processes[$name]}"
    fi
    wait "${fleet_processes[$name]}" 2> /dev/null || true
    cat "$fleet_work/$name.log" >> "$trace/$name.$((++lives[$host])).log"
    start_platform_host "$host" riga-1
    record start "$host"
}

carry_out() {
    case $1 in
    start) start_again "$2" ;;
    change)
        record "$2" -
        change_store "$2"
        ;;
    *)
        record "$1" "$2"
        kill -"$1" "${fleet_processes[platform-host-$2]}" 2> /dev/null || true
        ;;
    esac
}

# collect_configurations: prints "TIME HOST-ADDRESS LIFE VERSION" for each configuration in force.
collect_configurations() {
    local file host
    for file in "$trace"/platform-host-*.log; do
        host=${file##*/platform-host-}
        awk -v address="127.0.0.1:$(caller_port "${host%%.*}")" -v life="$host" '
            / event=configuration-in-force / {
                match($0, /version=[0-9]+/)
                print $1, address, life, substr($0, RSTART + 8, RLENGTH - 8)
            }' "$file"
    done
}

# run_seed SEED: returns 1 if there was a violation.
run_seed() {
    local seed=$1 host began at event argument addresses
    trace=$fleet_work/trace-$seed
    mkdir "$trace"
    declare -gA lives=()
    touch "$trace/faults"
    start_platform_standin --shards=$shards
    start_relayed_fleet "$host_count" "$host_count"
    addresses=$(for host in $(seq 1 "$host_count"); do
        echo "127.0.0.1:$(caller_port "$host")"
    done | paste -sd ,)
    start callers "$FLEET_BIN/standin_caller" --hosts="$addresses" --name="$seed" \
        --length="$((length_s + (SOAK_RECOVERY_MS + SOAK_STOP_GRACE_MS) / 1000 + 6))s"
    began=$(now_ms)
    while read -r at event argument; do
        while [ $(($(now_ms) - began)) -lt "$at" ]; do sleep 0.02; done
        carry_out "$event" "$argument"
    done <<< "$(plan_faults "$seed" "$host_count" "$target_count" "$length_s")"
    for host in $(seq 1 "$host_count"); do
        eventually lists_members "$host" "$host_count"
        eventually is_ready "$host"
    done
    wait "${fleet_processes[callers]}" || echo "the callers failed" >> "$trace/violations"
    mv "$fleet_work/callers.log" "$trace/requests"
    send_request $((FLEET_PORT + 398)) POST /booking-runs control | grep '^booking-' > "$trace/bookings"
    send_request $((FLEET_PORT + 398)) POST /lookups-run-too-often control | grep '^lookup-' > "$trace/excess" || true
    for host in $(seq 1 "$host_count"); do
        is_running "$host" || echo "host $host ended by itself" >> "$trace/violations"
        stop "platform-host-$host" KILL || true
        cp "$fleet_work/platform-host-$host.log" "$trace/platform-host-$host.last.log"
    done
    stop platform KILL || true
    unset "fleet_processes[callers]"
    collect_configurations > "$trace/configurations"
    check_all "$trace" $shards >> "$trace/violations"
    echo "seed $seed: $(wc -l < "$trace/requests") requests, $(wc -l < "$trace/faults") events," \
        "$(awk '$5 == "cut"' "$trace/requests" | wc -l) cut," \
        "$(wc -l < "$trace/violations") violations"
    [ -s "$trace/violations" ] || return 0
    head -n 10 "$trace/violations"
    cp -r "$trace" "soak-$seed"
    echo "again: scripts/soak.sh --seed $seed --hosts $host_count --length $length_s" \
        "--shards $shards --cores $FLEET_CORES"
    return 1
}

failed=0
for seed in $(seq "$first_seed" "$last_seed"); do
    run_seed "$seed" || failed=$((failed + 1))
done
echo "$((last_seed - first_seed + 1 - failed)) passed, $failed failed"
[ $failed -eq 0 ]
