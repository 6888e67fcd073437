#!/usr/bin/env bash
# Runs the test days of deploy/days/ on the users' bench and prints each day on
# which a rule was broken. Needs the users' kit.
# Usage: tools/play-days.sh SITE [PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=../given/kit/more/system/more/bench-d17393/bin/fleetbench
site=$1
pattern=${2:-}
out=$(mktemp -d)
jobs=${JOBS:-4}
find deploy/days -name "*$pattern*.toml" | sort |
  xargs -P "$jobs" -I{} bash -c '
    name=$(basename {} .toml)
    "$0" run "$1" {} --no-cpu --why "own day $name" > "$2/$name.txt" 2>&1 || true' \
    "$bench" "$site" "$out"
bad=0
for f in "$out"/*.txt; do
  if ! grep -qE "^worth " "$f"; then
    bad=$((bad + 1))
    echo "$(basename "$f" .txt): not played: $(tail -1 "$f")"
    continue
  fi
  if grep -qE "BROKEN|rules broken: [A-Z]|FAULT|fault:" "$f"; then
    bad=$((bad + 1))
    echo "$(basename "$f" .txt): $(grep -E "rules broken|BROKEN|FAULT" "$f" | head -2 | tr '\n' ' ')"
  fi
done
echo "$(ls "$out" | wc -l) days, $bad with a rule broken; outputs in $out"
