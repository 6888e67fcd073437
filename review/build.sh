#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build/. Needs
# only a C++ compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in 1 2 3; do
  [ -f "$case/case.cc" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. lab.cc "$case/case.cc" \
    -o "build/case$case"
done
