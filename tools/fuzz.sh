#!/usr/bin/env bash
# Fuzzes every decoder of untrusted bytes. Runs each target for SECONDS from its
# committed corpus, JOBS targets at once. Writes new inputs of target T to
# build-fuzz/new/T; MERGE=1 merges those that reach more code into the corpus.
# With RUNS=N, each target instead runs N inputs from a fixed seed, so that each
# run uses the same inputs.
# Usage: tools/fuzz.sh [SECONDS] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
shift || true
cmake -S . -B build-fuzz -DMEDLARWALK_FUZZ=ON \
  -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build build-fuzz --target fuzz_targets -j"$(nproc)" >build-fuzz/build.txt 2>&1 ||
  { tail -30 build-fuzz/build.txt; exit 1; }
if [ $# -eq 0 ]; then
  for f in build-fuzz/fuzz/fuzz_*; do [ -x "$f" ] && set -- "$@" "${f##*/fuzz_}"; done
fi
play() {
  local t=$1 seconds=$2 out=build-fuzz/$1.txt
  mkdir -p "fuzz/corpus/$t" "build-fuzz/new/$t"
  local bound=(-max_total_time="$seconds")
  [ -z "${RUNS:-}" ] || bound=(-runs="$RUNS" -seed=1)
  # Inputs found by earlier runs would change a run with a fixed seed.
  [ -z "${RUNS:-}" ] || rm -f "build-fuzz/new/$t"/*
  if build-fuzz/fuzz/fuzz_"$t" "${bound[@]}" -timeout=5 \
    -rss_limit_mb=1024 -max_len=4096 -print_final_stats=1 \
    -artifact_prefix="build-fuzz/$t-" "build-fuzz/new/$t" "fuzz/corpus/$t" \
    >"$out" 2>&1; then
    echo "$t: $(grep -oE 'number_of_executed_units: [0-9]+' "$out" | grep -oE '[0-9]+') executions, no finding"
  else
    echo "$t: FINDING, see $out"
    tail -15 "$out"
    return 1
  fi
  if [ "${MERGE:-0}" = 1 ]; then
    build-fuzz/fuzz/fuzz_"$t" -merge=1 -max_len=4096 "fuzz/corpus/$t" \
      "build-fuzz/new/$t" >/dev/null 2>&1
  fi
}
export -f play
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} bash -c 'play {} '"$seconds"
