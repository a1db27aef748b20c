#!/usr/bin/env bash
# Installs what the build needs on a fresh Debian machine.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy git python3 binutils
  libcivetweb-dev prometheus-cpp-dev libcapnp-dev capnproto libgflags-dev libeasyloggingpp-dev
  libboost-test-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev libssl-dev zlib1g-dev
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${packages[@]}"
