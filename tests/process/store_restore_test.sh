#!/usr/bin/env bash
# Guards against hosts that stay on an older configuration, or return to one, after the store was
# restored from a copy: eight hosts, six of them in one data centre and so with a relay. Bookings
# run all the while, each at most once.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

host_count=8
# The platform requires a change to apply 3 s after the store has worked for 4 s.
activation_limit_ms=7000

fail() {
    local log
    echo "$1"
    for log in "$fleet_work"/platform-host-*.log; do
        echo "$(basename "$log"): $(grep -c event=store-listed "$log") listings"
        grep -E 'event=(configuration|relay)-|event=store-(item-outdated|era)' "$log" | tail -n 4
    done
    exit 1
}

status_of() {
    send_request "$(caller_port "$1")" GET "$2" "$RANDOM$RANDOM" | head -n 1 | cut -d ' ' -f 2
}

# await_route PATH SINCE: waits until every host serves a path, at most the limit after SINCE.
await_route() {
    local number
    for number in $(seq 1 $host_count); do
        until [ "$(status_of "$number" "$1")" = 200 ]; do
            [ $(($(now_ms) - $2)) -le $activation_limit_ms ] \
                || fail "host $number does not serve $1 within $activation_limit_ms ms"
            sleep 0.05
        done
    done
}

# keeps_route PATH: checks at every host several times that a path is served.
keeps_route() {
    local round number
    for round in 1 2 3 4; do
        for number in $(seq 1 $host_count); do
            [ "$(status_of "$number" "$1")" != 404 ] || fail "host $number no longer has the route of $1"
        done
    done
}

# restore COMMAND VERSION: restores the store. Operators and targets write again what was lost, and
# a newer configuration, as soon as hosts can call the store.
restore() {
    local command=$1 version=$2 since
    change_store unavailable
    change_store "$command"
    sleep 0.3
    change_store serving
    since=$(now_ms)
    keeps_route "/added-$active_version/x"
    change_store write-again
    change_store "configuration/$version"
    await_route "/added-$version/x" "$since"
    active_version=$version
}

# restore_overtaken COMMAND VERSION: the same, but the writes come before hosts can call the store,
# and the store's revision overtakes that of the hosts, so that no watch of theirs fails.
restore_overtaken() {
    local command=$1 version=$2 since
    change_store unavailable
    change_store "$command"
    change_store write-again
    change_store "configuration/$version"
    change_store other-writes
    change_store other-writes
    sleep 0.3
    change_store serving
    since=$(now_ms)
    await_route "/added-$version/x" "$since"
    active_version=$version
}

# book_until_stopped: sends bookings to one host after the other and writes their statuses.
book_until_stopped() {
    local count=0
    while [ ! -e "$fleet_work/stop-booking" ]; do
        count=$((count + 1))
        send_request "$(caller_port $((count % host_count + 1)))" POST /once/x "booking-$count" \
            | head -n 1 | cut -d ' ' -f 2
    done
}

start_platform_standin
for number in $(seq 1 $host_count); do
    start_platform_host "$number" "$([ "$number" -le 6 ] && echo riga-1 || echo jelgava)"
done
for number in $(seq 1 $host_count); do
    eventually is_ready "$number"
    eventually lists_members "$number" $host_count
done
eventually grep -q 'event=relay-chosen relay=127' "$fleet_work"/platform-host-*.log

change_store copy
change_store other-writes
change_store configuration/5
active_version=5
await_route /added-5/x "$(now_ms)"

book_until_stopped > "$fleet_work/bookings" &
booker=$!
restore restore 9
restore_overtaken restore 12
restore restore-without-closing-watches 17
restore_overtaken restore-without-closing-watches 23
for number in $(seq 1 $host_count); do
    eventually lists_members "$number" $host_count
done
touch "$fleet_work/stop-booking"
wait "$booker"
booked=$(grep -c '^200$' "$fleet_work/bookings")
[ "$booked" -ge 100 ] || fail "only $booked bookings were answered"
# A host may refuse a booking that no target has run, but not fail one.
[ "$(grep -c -v -E '^(200|503)$' "$fleet_work/bookings")" = 0 ] \
    || fail "bookings failed: $(sort "$fleet_work/bookings" | uniq -c | tr '\n' ' ')"
runs=$(send_request $((FLEET_PORT + 398)) POST /most-runs-of-one-booking control | tail -n 1)
[ "$runs" = 1 ] || fail "a booking ran $runs times"
echo "passed: $booked bookings"
