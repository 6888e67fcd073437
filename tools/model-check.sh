#!/usr/bin/env bash
# Model-checks spec/core.pml with spin: the protocol must hold, and each
# seeded mutant must be caught (a check that catches nothing proves nothing).
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
check() {
  (cd "$work" && rm -f pan* && spin -DMUTANT="$1" -a "$OLDPWD/core.pml" >/dev/null &&
   gcc -O2 -DSAFETY -o pan pan.c 2>/dev/null && ./pan -m100000 2>&1 | grep -oE 'errors: [0-9]+')
}
ok=$(check 0)
echo "model: $ok"
[ "$ok" = "errors: 0" ] || { echo "model check failed"; exit 1; }
for m in 1 2; do
  got=$(check "$m")
  echo "mutant $m: $got"
  [ "$got" != "errors: 0" ] || { echo "mutant $m not caught"; exit 1; }
done
