#!/usr/bin/env bash
# A short run of the soak with a fixed seed; longer ones are started by hand.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec scripts/soak.sh --seed 1 --length 20
