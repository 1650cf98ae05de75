#!/usr/bin/env bash
# Guards against hosts that go on sending to a target which reports that it leaves, or which asks
# for a pause, while the store cannot tell them: twenty hosts, counted at the target.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

host_count=20

fail() {
    echo "$1"
    grep -h -E 'event=target-(leaving|paused)' "$fleet_work"/platform-host-*.log | tail -n 20
    exit 1
}

# send_round ID HOST...: sends a lookup to each of these hosts.
send_round() {
    local id=$1 number
    shift
    for number in "$@"; do
        send_request "$(caller_port "$number")" GET /all/x "$id-$number" | head -n 1 | grep -q ' 200 ' \
            || fail "a lookup was not answered"
    done
}

arrivals_at() {
    send_request $((FLEET_PORT + 398)) POST "/target/$1/arrivals" control | tail -n 1
}

# hosts_that_logged EVENT TARGET: prints the numbers of the hosts that know of a target's report.
hosts_that_logged() {
    local number
    for number in $all_hosts; do
        if grep -q "event=$1 target=target-$2" "$fleet_work/platform-host-$number.log"; then
            echo "$number"
        fi
    done
}

elapsed_ms() { echo $((($(date +%s%N) - $1) / 1000000)); }

start_platform_standin
all_hosts=$(seq 1 $host_count)
for number in $all_hosts; do
    start_platform_host "$number"
done
for number in $all_hosts; do
    eventually is_ready "$number"
done
send_round warm $all_hosts
change_store unavailable

# A host that has read one such answer sends nothing more.
change_store target/0/leaving
for round in $(seq 1 6); do
    send_round "leaving-$round" $all_hosts
done
informed=$(hosts_that_logged target-leaving 0)
[ -n "$informed" ] || fail "no host got an answer of the target that leaves"
before=$(arrivals_at 0)
for round in $(seq 1 6); do
    send_round "left-$round" $informed
done
[ "$(arrivals_at 0)" -eq "$before" ] || fail "requests reached a target that is known to leave"

# The same until the end of a pause.
change_store target/3/pause/6
began=$(date +%s%N)
while [ "$(elapsed_ms "$began")" -lt 1500 ]; do
    send_round "pause-$RANDOM" $all_hosts
done
informed=$(hosts_that_logged target-paused 3)
[ -n "$informed" ] || fail "no host got a refusal of the target that wants a pause"
before=$(arrivals_at 3)
while [ "$(elapsed_ms "$began")" -lt 4500 ]; do
    send_round "paused-$RANDOM" $informed
done
[ "$(arrivals_at 3)" -eq "$before" ] || fail "requests reached a target during its pause"
change_store target/3/pause
serves_again() {
    send_round again $all_hosts
    [ "$(arrivals_at 3)" -gt "$before" ]
}
eventually serves_again
echo "passed: $(echo "$informed" | wc -l) of $host_count hosts paused"
