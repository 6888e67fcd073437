#!/usr/bin/env bash
# Measures the latency added by entry and agent: sends the same light load to a
# fake engine directly and then through entry and agent, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/medlarwalk
run=$(mktemp -d); base=${BASE_PORT:-7200}; pids=()
$bin default-settings --base_port "$base" > "$run/settings.json"
start() { "$bin" "$@" --settings "$run/settings.json" --log_level warn >>"$run/procs.log" 2>&1 & pids+=($!); }
start fake-engine --upstream ledgerhand-1 --step_ms 2
start agent --host agent-1
python3 - "$run" "$base" <<'PY'
import json, sys
run, base = sys.argv[1], int(sys.argv[2])
s = json.load(open(run + "/settings.json"))
s["upstreams"] = [u for u in s["upstreams"] if u["name"] == "ledgerhand-1"]
json.dump(s, open(run + "/settings.json", "w"))
for name, target in (("direct", "http://127.0.0.1:%d" % (base + 40)),
                     ("path", "http://127.0.0.1:%d" % (base + 10))):
    w = {"targets": [target], "engines": ["http://127.0.0.1:%d" % (base + 40)],
         "duration_s": 6, "drain_s": 5, "seed": 3,
         "classes": [{"class": "gate-release", "account": "pit-a-scalehouse",
                      "rate": 20, "max_tokens": 8, "prompt_chars": 100,
                      "first_token_ms": 500, "between_tokens_ms": 60}]}
    json.dump(w, open("%s/%s.json" % (run, name), "w"))
PY
start entry --host entry-1
sleep 1
for name in direct path; do
  $bin load --workload "$run/$name.json" --settings "$run/settings.json" --json "$run/$name.out.json" >/dev/null
  python3 -c "import json;r=json.load(open('$run/$name.out.json'))['classes'][0];print('$name p95 first token %.2f ms, whole %d/%d' % (r['p95_first_token_s']*1e3, r['whole'], r['sent']))"
done
for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true
