#!/usr/bin/env bash
# Runs one workload against the embedded default deployment twice: with the
# tiered policy and with the naive baseline (FIFO, round robin). Prints the CPU
# time of entries and agents per request. Usage: tools/compare.sh [WORKLOAD]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/medlarwalk
workload=${1:-tools/workloads/burst-low.json}
tick=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
for policy in tiered naive; do
  run=$(mktemp -d); base=${BASE_PORT:-7100}; pids=(); entries=(); agents=()
  $bin default-settings --base_port "$base" > "$run/settings.json"
  start() { "$bin" "$@" --settings "$run/settings.json" --log_level warn >>"$run/procs.log" 2>&1 & pids+=($!); }
  for i in 1 2 3; do start fake-engine --upstream "ledgerhand-$i"; done
  start fake-service --upstream scalehouse-1
  for i in 1 2 3 4; do start agent --host "agent-$i"; agents+=($!); done
  for i in 1 2; do start entry --host "entry-$i" --policy "$policy"; entries+=($!); done
  sleep 1
  e0=0; for p in "${entries[@]}"; do e0=$((e0 + $(cpu "$p"))); done
  a0=0; for p in "${agents[@]}"; do a0=$((a0 + $(cpu "$p"))); done
  echo "== policy $policy"
  $bin load --workload "$workload" --settings "$run/settings.json" --json "$run/report.json"
  e1=0; for p in "${entries[@]}"; do e1=$((e1 + $(cpu "$p"))); done
  a1=0; for p in "${agents[@]}"; do a1=$((a1 + $(cpu "$p"))); done
  sent=$(python3 -c "import json;print(sum(c['sent'] for c in json.load(open('$run/report.json'))['classes']))")
  python3 -c "print('cpu per request: entry %.1f us, agent %.1f us (%d requests)' % (($e1-$e0)/$tick*1e6/$sent, ($a1-$a0)/$tick*1e6/$sent, $sent))"
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true
  sleep 0.5
done
