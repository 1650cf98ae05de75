#!/usr/bin/env bash
# The real daemon on the platform's surrounding: lookups, signals, settings, and the tool that
# explains a request from logs.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh
source scripts/platform-fleet.sh

fail() {
    echo "$1"
    tail -n 5 "$fleet_work"/*.log
    exit 1
}

start_platform_standin
start_platform_host 1
start_platform_host 2
eventually is_ready 1
eventually is_ready 2

ask "$(caller_port 1)" GET /all/chairs first > "$fleet_work/first"
grep -q '^HTTP/1.1 200' "$fleet_work/first" || fail "a lookup is not answered"
grep -q '^X-Missing-Parts: 0' "$fleet_work/first" || fail "a lookup does not cover all shards"
ask "$(caller_port 2)" GET /nowhere/ second | grep -q '^HTTP/1.1 404' || fail "no route must be 404"
ask "$(caller_port 2)" POST /once/x third | grep -q '^HTTP/1.1 200' || fail "a booking is not run"

# SIGHUP and a changed file are reloads; a bad file changes nothing.
kill -HUP "${fleet_processes[platform-host-1]}"
eventually grep -q 'event=settings-reloaded cause=signal changed=no' "$fleet_work/platform-host-1.log"
sed -i 's/ratio = 0.2/ratio = 0.1/' "$fleet_work/platform-1.ini"
eventually grep -q 'event=settings-reloaded cause=file-changed changed=yes' "$fleet_work/platform-host-1.log"
sed -i 's/ratio = 0.1/ratio = much/' "$fleet_work/platform-1.ini"
eventually grep -q "event=settings-rejected.*'much' is not a number" "$fleet_work/platform-host-1.log"
ask "$(caller_port 1)" GET /all/chairs fourth | grep -q '^HTTP/1.1 200' || fail "a bad file stopped the host"

# Operators' view, and a request explained from the logs of all hosts.
"$FLEET_BIN/mustardctl" --host="127.0.0.1:$((FLEET_PORT + 441))" state > "$fleet_work/state"
grep -q '"version": 1' "$fleet_work/state" || fail "the state names no configuration"
kill -USR1 "${fleet_processes[platform]}"
eventually grep -q 'event=evacuations data_centres=riga-1' "$fleet_work/platform-host-1.log"
stop platform
ask "$(caller_port 2)" GET /all/tables lost | grep -q '^HTTP/1.1 50[234]' || fail "no target can answer"
"$FLEET_BIN/mustardctl" explain lost "$fleet_work"/platform-host-*.log > "$fleet_work/explained" \
    || fail "the request is not explained"
grep -q 'event=request-ended id=lost' "$fleet_work/explained" || fail "the end is not explained"
grep -q 'event=configuration-in-force version=1' "$fleet_work/explained" || fail "no configuration is named"

# A stop ends in order, within the grace period, and is not ready meanwhile.
kill -TERM "${fleet_processes[platform-host-1]}"
eventually grep -q 'event=stopping' "$fleet_work/platform-host-1.log"
is_ready 1 && fail "a stopping host is ready"
began=$(date +%s)
wait "${fleet_processes[platform-host-1]}" || fail "a stop ended with a failure"
unset 'fleet_processes[platform-host-1]'
[ $(($(date +%s) - began)) -le 6 ] || fail "a stop took longer than the grace period"
echo "passed"
