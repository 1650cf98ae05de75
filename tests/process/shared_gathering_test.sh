#!/usr/bin/env bash
# Guards against lookups that are cut, counted wrongly or run too often when other hosts gather their
# shards and those hosts are killed, frozen, stopped and started again.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec scripts/soak.sh --seed 4 --length 15 --hosts 12 --shards 24 --cores 0.05
