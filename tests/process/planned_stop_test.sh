#!/usr/bin/env bash
# A host that receives SIGTERM under load completes its running requests and exits with 0. Callers
# switch to other hosts as soon as it reports that it is not ready.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh

start_fleet 3 6 homes --service-time=20ms
service_settings lots 6 2 4 25 | apply_first auctions 3

load() {
    "$FLEET_BIN/load_tool" --service=lots --fail-on-cut --rate=40 --request-fraction=0.2 "$@"
}

# Callers of the stopping host stop sending at 1 s, shortly after it reports that it is not ready.
load --hosts="$(caller_address 2)" --length=1s --seed=2 > "$fleet_work/moved.out" &
moved=$!
load --hosts="$(caller_address 1),$(caller_address 3)" --length=4s > "$fleet_work/others.out" &
others=$!
# The load tool needs a while to start; a load that begins late would outlast the host.
until grep -q '^sending requests' "$fleet_work/moved.out"; do
    kill -0 "$moved" 2> /dev/null || { echo "the load tool ended before it sent requests"; exit 1; }
    sleep 0.01
done
sleep 0.9
status=0
stop host-2 TERM || status=$?
wait "$moved" || { cat "$fleet_work/moved.out"; echo "requests at the stopping host were cut"; exit 1; }
wait "$others" || { cat "$fleet_work/others.out"; echo "requests at other hosts were cut"; exit 1; }
cat "$fleet_work/moved.out" "$fleet_work/others.out"
[ "$status" -eq 0 ] || { echo "the host exited with $status"; exit 1; }
if grep -hE '^(lookups|requests) ' "$fleet_work"/moved.out "$fleet_work"/others.out | grep -E 'cut|unknown'; then
    echo "a request was cut or has an unknown outcome"
    exit 1
fi
