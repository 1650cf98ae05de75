#!/usr/bin/env bash
# Installs the distribution packages that the build, the tests and the checks depend on.
set -euo pipefail

packages=(
    build-essential cmake ninja-build pkg-config ccache
    libwebsockets-dev libwebsockets-evlib-uv libuv1-dev
    libcapnp-dev capnproto prometheus-cpp-dev libabsl-dev libfmt-dev
    nlohmann-json3-dev libhttp-parser-dev libinih-dev libxxhash-dev libgsl-dev
    doctest-dev librapidcheck-dev
    clang-format-14 clang-tidy-14
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi

elevate=()
if [ "$(id -u)" -ne 0 ]; then
    elevate=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${elevate[@]}" apt-get update -q
"${elevate[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
