#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p build
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$@" -pthread; }
compile -c rig/rig.cpp -o build/rig.o
for source in */case.cpp; do
    compile "$source" build/rig.o -o "build/case-$(dirname "$source")"
done
