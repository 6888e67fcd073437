#!/usr/bin/env bash
# Builds the whole product with AddressSanitizer and UndefinedBehaviorSanitizer
# in build-sanitize/ and runs test groups on it, and soak seeds if SEEDS is set.
# An error of a sanitizer ends the process that makes it and fails the run.
# Usage: [JOBS=N] [SEEDS=1-5] [KINDS=all] tools/sanitize.sh [GROUP...]
# Without GROUP, all groups without the soak run.
set -euo pipefail
cd "$(dirname "$0")/.."
flags="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"
cmake -S . -B build-sanitize -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_FLAGS="$flags" -DCMAKE_EXE_LINKER_FLAGS="$flags" >/dev/null
cmake --build build-sanitize -j "${JOBS:-$(nproc)}" >build-sanitize/build.txt 2>&1 ||
  { tail -30 build-sanitize/build.txt; exit 1; }
export ASAN_OPTIONS=abort_on_error=1:detect_leaks=0
export UBSAN_OPTIONS=print_stacktrace=1:abort_on_error=1
cd build-sanitize
if [ $# -gt 0 ]; then
  ctest --output-on-failure -R "^($(IFS='|'; echo "$*"))\$"
else
  ctest --output-on-failure -E '^soak_'
fi
if [ -n "${SEEDS:-}" ]; then
  ./medlarwalk_soak --seeds="$SEEDS" --kinds="${KINDS:-all}" --jobs="${JOBS:-2}"
fi
