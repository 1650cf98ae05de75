#!/usr/bin/env bash
# Guards against a planned stop that cuts requests if the host is frozen meanwhile: what callers have
# sent by then waits in its sockets, some of it on connections that it has not accepted yet.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

caller_count=16
least_answers=100

# receive_response: reads a response from descriptor 8. Returns 1 if it ends early.
receive_response() {
    local line length=0
    IFS= read -r -t 15 line <&8 || return 1
    status=$(echo "$line" | cut -d ' ' -f 2)
    while IFS= read -r -t 15 line <&8; do
        line=${line%$'\r'}
        case $line in
        '') break ;;
        Content-Length:*) length=${line#*: } ;;
        Connection:*close) closes=1 ;;
        esac
    done
    [ -z "$line" ] || return 1
    [ "$length" -eq 0 ] || IFS= read -r -t 15 -N "$length" line <&8
}

# send_lookups HOST CALLER: sends one lookup after the other until callers are told to stop, on a
# kept connection until the host closes it, and writes how each one ended.
send_lookups() {
    local status closes sent=0
    while [ ! -e "$fleet_work/stop-callers" ]; do
        exec 8<> "/dev/tcp/127.0.0.1/$(caller_port "$1")" || return 0
        closes=0
        while [ $closes -eq 0 ] && [ ! -e "$fleet_work/stop-callers" ]; do
            sent=$((sent + 1))
            printf 'GET /all/x HTTP/1.1\r\nHost: search.example\r\nX-Attempt-Id: frozen-%s-%s-%s\r\nX-Time-Budget-Ms: 14000\r\n\r\n' \
                "$1" "$2" "$sent" >&8
            if receive_response; then
                echo "$status"
            else
                echo cut
                closes=1
            fi
        done
        exec 8>&-
    done 2> /dev/null > "$fleet_work/outcomes-$1-$2"
}

# has_answered HOST: whether its callers have got more answers than needed for a meaningful test.
has_answered() {
    [ "$(cat "$fleet_work"/outcomes-"$1"-* | grep -c -x 200)" -gt $least_answers ]
}

# freeze_during_stop HOST STEP...: carries out the steps, signals or pauses, under load.
freeze_during_stop() {
    local host=$1 step caller
    shift
    rm -f "$fleet_work/stop-callers"
    start_platform_host "$host"
    eventually is_ready "$host"
    for caller in $(seq 1 $caller_count); do
        send_lookups "$host" "$caller" &
        fleet_processes[caller-$caller]=$!
    done
    eventually has_answered "$host"
    for step in "$@"; do
        case $step in
        [0-9]*) sleep "$step" ;;
        *) kill -"$step" "${fleet_processes[platform-host-$host]}" ;;
        esac
    done
    # Each caller has a request that waits at the frozen host, and sends no other one after it.
    touch "$fleet_work/stop-callers"
    kill -CONT "${fleet_processes[platform-host-$host]}"
    for caller in $(seq 1 $caller_count); do
        wait "${fleet_processes[caller-$caller]}" || true
        unset "fleet_processes[caller-$caller]"
    done
    local answered cut
    answered=$(cat "$fleet_work"/outcomes-"$host"-* | grep -c -x 200)
    cut=$(cat "$fleet_work"/outcomes-"$host"-* | grep -c -x cut || true)
    echo "$*: $answered lookups answered, $cut cut"
    [ "$answered" -gt $least_answers ] || { echo "the host answered too few lookups"; exit 1; }
    [ "$cut" -eq 0 ] || { echo "requests were cut"; exit 1; }
    wait "${fleet_processes[platform-host-$host]}" || { echo "the host exited with $?"; exit 1; }
    unset "fleet_processes[platform-host-$host]"
}

start_platform_standin
# How many callers wait for a new connection when the host is frozen is a matter of chance.
for host in 1 2 3; do
    freeze_during_stop "$host" TERM 0.3 STOP 2.5
done
freeze_during_stop 4 STOP 1 TERM 1
echo "passed"
