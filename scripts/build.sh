#!/usr/bin/env bash
# Configures and builds. Usage: scripts/build.sh [DIRECTORY [CMAKE OPTION ...]]
set -euo pipefail
cd "$(dirname "$0")/.."

directory=${1:-build}
shift || true
cmake -S . -B "$directory" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" > /dev/null
cmake --build "$directory"
