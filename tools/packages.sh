#!/usr/bin/env bash
# Installs the Debian packages that are needed to build, lint and test.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl
    libevent-dev libevhtp-dev libssl-dev libcapnp-dev
    libspdlog-dev libinih-dev libboost-dev libboost-program-options-dev
    libxxhash-dev libzstd-dev nlohmann-json3-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
