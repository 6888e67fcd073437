#!/usr/bin/env bash
# Runs a workload on the embedded default deployment. Builds, then starts two
# entries and four agents on 127.0.0.1: three agents with a fake engine each and
# one with a fake plain service. Runs the load tool against the entries and
# prints attainment by class, goodput and wasted work. Stops only the processes
# it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-deps.sh
tools/build.sh >/dev/null
bin=build/medlarwalk
run=$(mktemp -d)
base=${BASE_PORT:-7000}
pids=()
cleanup() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap cleanup EXIT
$bin default-settings --base_port "$base" > "$run/settings.json"
start() { "$bin" "$@" --settings "$run/settings.json" --log_level warn >>"$run/procs.log" 2>&1 & pids+=($!); }
for i in 1 2 3; do start fake-engine --upstream "ledgerhand-$i"; done
start fake-service --upstream scalehouse-1
for i in 1 2 3 4; do mkdir -p "$run/agent-$i"; start agent --host "agent-$i" --data "$run/agent-$i"; done
for i in 1 2; do start entry --host "entry-$i"; done
sleep 1
workload=${1:-tools/workloads/default.json}
$bin load --workload "$workload" --settings "$run/settings.json" --json "$run/report.json"
echo "report: $run/report.json; process log: $run/procs.log"
