#!/usr/bin/env bash
# Model-checks the specs with spin. Each protocol must hold, and each seeded
# mutant must be caught: a check that finds no mutant proves nothing. Runs end at
# the bounds of the model, so invalid end states are not errors (-E).
set -euo pipefail
cd "$(dirname "$0")/../spec"
spec_dir=$PWD
work=$(mktemp -d)
# Compiler flags; COLLAPSE keeps large state spaces in memory, but is slower.
flags="-O2 -DCOLLAPSE"
# Prints "errors: N" for spec $1 with mutant $2 and part $3; mutant 0 is the
# unchanged spec.
check() {
  (cd "$work" && rm -f pan* && spin -DMUTANT="$2" -DPART="$3" -a "$spec_dir/$1" >/dev/null &&
   gcc $flags -DSAFETY -o pan pan.c 2>/dev/null &&
   ./pan -E -m1000000 2>&1 | tee pan.out | grep -oE 'errors: [0-9]+')
}
check_spec() {
  local spec=$1 mutants=$2 part=${3:-1} got
  got=$(check "$spec" 0 "$part")
  echo "$spec, part $part: $got, $(grep -oE '[0-9.e+]+ states, stored' "$work/pan.out")"
  [ "$got" = "errors: 0" ] || { echo "$spec: does not hold"; exit 1; }
  if grep -q 'max search depth too small' "$work/pan.out"; then
    echo "$spec: search cut short"; exit 1
  fi
  for m in $mutants; do
    got=$(check "$spec" "$m" "$part")
    echo "$spec, mutant $m: $got"
    [ "$got" != "errors: 0" ] || { echo "$spec: mutant $m not caught"; exit 1; }
  done
}
check_spec core.pml "1 2"
check_spec control.pml "1 2 3 4 5 7"
check_spec control.pml "6" 2
check_spec control.pml "8" 3
check_spec list.pml "1 2 3"
check_spec list_parts.pml "1 2 3 4 5"
# The reverse order of transitions finds mutant 1 in a second instead of 14.
flags="-O1 -DT_REVERSE"
check_spec usage.pml "1 2 3 4"
check_spec usage.pml "5 6 7 8 9 10" 2
