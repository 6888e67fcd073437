#!/usr/bin/env bash
# Installs the Debian packages that medlarwalk needs to build and test.
set -euo pipefail
pkgs="build-essential cmake pkg-config curl clang clang-format clang-tidy libclang-rt-14-dev spin
  libev-dev libnghttp2-dev prometheus-cpp-dev libcurl4-openssl-dev
  libmicrohttpd-dev libboost1.81-dev libtomlplusplus-dev libxxhash-dev libabsl-dev liblog4cxx-dev cpputest nlohmann-json3-dev zlib1g-dev"
missing=""
for p in $pkgs; do dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"; done
if [ -n "$missing" ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  # shellcheck disable=SC2086
  apt-get install -y -qq $missing
fi
