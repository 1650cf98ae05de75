#!/usr/bin/env bash
# Guards against hosts that together send a request again and again to targets that end under it.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

host_count=10
relayed_count=7
tolerated_crashes=3
tolerated_retries=3
contact_ms=4000
length_s=16

fail() {
    echo "$1"
    grep -h -E 'event=suspect' "$fleet_work"/platform-host-*.log | tail -n 20
    exit 1
}

status_of() {
    send_request "$(caller_port "$1")" GET "$2" "$RANDOM$RANDOM" 2> /dev/null | head -n 1 | cut -d ' ' -f 2
}

crashes() {
    send_request $((FLEET_PORT + 398)) POST /crashes control | tail -n 1
}

# repeat PATH: sends a request to one host after the other, and others beside it, and samples lines
# "MILLISECONDS CRASHES ARRIVALS".
repeat() {
    local end=$(($(now_ms) + length_s * 1000)) number=0
    while [ "$(now_ms)" -lt $end ]; do
        number=$((number % host_count + 1))
        status_of "$number" "$1" > /dev/null || true
        [ "$(status_of $((number % host_count + 1)) /all/other || true)" = 200 ] && echo served || echo failed
        echo "$(now_ms) $(crashes)" >> "$fleet_work/samples"
        sleep 0.1
    done > "$fleet_work/others"
}

# check NAME: the number of requests at targets later than hosts must know of them.
check() {
    local late served all
    late=$(awk -v crashes=$tolerated_crashes -v contact=$contact_ms '
        $2 >= crashes && !third { third = $1 }
        third && $1 <= third + contact { known = $3 }
        { last = $3 }
        END { print third ? last - known : "none" }' "$fleet_work/samples")
    served=$(grep -c served "$fleet_work/others" || true)
    all=$(wc -l < "$fleet_work/others")
    echo "$1: $(crashes) (ended, arrived), $late too late, others served $served of $all"
    [ "$late" != none ] || fail "fewer than $tolerated_crashes targets have ended"
    [ "$late" -le $tolerated_retries ] || fail "$late requests reached targets"
    [ $((served * 10)) -ge $((all * 5)) ] || fail "the other requests are not served"
}

start_platform_standin
start_relayed_fleet $host_count $relayed_count
change_store copy

change_store crash-on/500/all/ends-targets
repeat /all/ends-targets &
sender=$!
sleep 3
stop platform-host-1 KILL || true
start_platform_host 1 riga-1
kill -STOP "${fleet_processes[platform-host-2]}"
sleep 1
kill -CONT "${fleet_processes[platform-host-2]}"
kill -TERM "${fleet_processes[platform-host-9]}"
change_store restore
change_store write-again
sleep 4
stop platform-host-3 KILL || true
start_platform_host 3 riga-1
wait $sender
check "a lookup"

rm "$fleet_work/samples"
before=$(crashes)
change_store crash-on/500/added-1/ends-targets
repeat /added-1/ends-targets &
sender=$!
wait $sender
awk -v before="$before" '{ split(before, b, " "); print $1, $2 - b[1], $3 - b[2] }' "$fleet_work/samples" > "$fleet_work/adjusted"
mv "$fleet_work/adjusted" "$fleet_work/samples"
check "a request to one target"
echo "passed: $host_count hosts"
