#!/usr/bin/env bash
# Guards against hosts that together send a target more requests than the limit that it has named,
# while they learn of it one by one, a host is restarted, one is paused and the store is away:
# twelve hosts, eight of them with a relay, and callers that keep their connections.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

host_count=12
relayed_count=8
limit_per_s=20
window_ms=4000
# In any window: one and a half times the limit, and five requests.
allowed=$((3 * limit_per_s * window_ms / 2000 + 5))
grace_ms=4000
load_s=30

fail() {
    echo "$1"
    grep -h -E 'event=target-(un)?limited' "$fleet_work"/platform-host-*.log | tail -n 20
    exit 1
}

arrivals_at() {
    send_request $((FLEET_PORT + 398)) POST "/target/$1/arrivals" control | tail -n 1
}

# send_lookups NUMBER: sends lookups over one kept connection at a time.
send_lookups() {
    local number=$1 end=$(($(now_ms) + load_s * 1000)) sent=0
    while [ "$(now_ms)" -lt $end ]; do
        exec 8<> "/dev/tcp/127.0.0.1/$(caller_port "$number")" || { sleep 0.2; continue; }
        cat <&8 > /dev/null &
        while [ "$(now_ms)" -lt $end ]; do
            sent=$((sent + 1))
            printf 'GET /all/x HTTP/1.1\r\nHost: search.example\r\nX-Attempt-Id: load-%s-%s\r\nX-Time-Budget-Ms: 900\r\n\r\n' \
                "$number" "$sent" >&8 || break
            sleep 0.01
        done
        exec 8>&-
    done 2> /dev/null
}

# sample_arrivals UNTIL: appends lines "MILLISECONDS ARRIVALS" of each limited target.
sample_arrivals() {
    while [ "$(now_ms)" -lt "$1" ]; do
        for target in 0 1; do
            echo "$(now_ms) $(arrivals_at "$target")" >> "$fleet_work/arrivals-$target"
        done
        sleep 0.1
    done
}

# most_in_a_window FILE: prints the highest number of arrivals between two samples of one window.
most_in_a_window() {
    awk -v window=$window_ms '
        { at[NR] = $1; count[NR] = $2 }
        END {
            first = 1
            for (last = 1; last <= NR; ++last) {
                while (at[last] - at[first] > window) ++first
                if (count[last] - count[first] > most) most = count[last] - count[first]
            }
            print most + 0
        }' "$1"
}

start_platform_standin --work_ms=2
start_relayed_fleet $host_count $relayed_count

for number in $(seq 1 $host_count); do
    send_lookups "$number" &
    fleet_processes[load-$number]=$!
done
sleep 1
for target in 0 1; do
    change_store "target/$target/limit/$limit_per_s"
done
named_at=$(now_ms)
sleep "$((grace_ms / 1000))"

sample_arrivals $((named_at + 15000)) &
sampler=$!
stop platform-host-1 KILL || true
start_platform_host 1 riga-1
sleep 1
kill -STOP "${fleet_processes[platform-host-2]}"
sleep 1
kill -CONT "${fleet_processes[platform-host-2]}"
change_store unavailable
sleep 2
change_store serving
wait $sampler

for target in 0 1; do
    most=$(most_in_a_window "$fleet_work/arrivals-$target")
    echo "target $target: $most of $allowed requests in $window_ms ms"
    [ "$most" -le $allowed ] || fail "target $target got more requests than its limit allows"
    [ "$most" -gt $((limit_per_s * window_ms / 4000)) ] || fail "target $target got almost no requests"
done
before=$(arrivals_at 0)
for target in 0 1; do
    change_store "target/$target/limit"
done
exceeds_limit() {
    [ $(($(arrivals_at 0) - before)) -gt $((allowed * 2)) ]
}
eventually exceeds_limit

echo "passed: $host_count hosts"
