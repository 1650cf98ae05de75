#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    if [ "$number" -ge 6 ]; then
        "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
    fi
done
