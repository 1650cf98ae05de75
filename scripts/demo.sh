#!/usr/bin/env bash
# Installs dependencies, builds, and demonstrates the tier on this machine: a store, a host list,
# six targets and three hosts in three data centres. All processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh build
source scripts/fleet.sh

say() {
    printf '\n== %s\n' "$*"
}

say "Hosts start and discover each other"
start_fleet 3 6 homes
control members

{
    service_settings pallet-lots 6 1 4 25
    service_settings item-detail 6 2 4 25
} > "$fleet_work/auctions.ini"

say "The team 'auctions' applies its settings"
control check auctions "$fleet_work/auctions.ini"
control apply auctions "$fleet_work/auctions.ini" --revision=0 --author=demo --comment="first settings"
await_settings auctions 3
control audit auctions

say "A lookup over six targets in three data centres, one replica for each shard"
control lookup pallet-lots "blue chairs" --limit=3

say "A booking, and a retry of the same booking through another host"
issued=$(date +%s%3N)
control request pallet-lots lot-17 "reserve for buyer 4" --id=booking-1 --issued-at-ms="$issued"
control_at 3 request pallet-lots lot-17 "reserve for buyer 4" --id=booking-1 \
    --issued-at-ms="$issued"

say "A target is killed: a shard without another replica is missing from the result"
stop target-3 KILL || true
control lookup pallet-lots "blue chairs" --limit=3 || [ $? -eq 7 ]

say "A shard with another replica is still answered"
control lookup item-detail "blue chairs" --limit=3

say "The target restarts; the data centre jelgava is taken out and put back in"
start_target 3
whole_answer() { control lookup pallet-lots "blue chairs" --limit=1; }
eventually whole_answer
control data-centre-out jelgava auctions --author=demo
control lookup item-detail "blue chairs" --limit=1
control data-centre-in jelgava auctions --author=demo
control audit auctions

say "Targets at the host $(host_name 1)"
control targets

say "All processes are stopped"
