#!/usr/bin/env bash
# Builds the stand-ins and callers of all cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
flags="-std=c++20 -O1 -Wall -Wextra"
pids=()
for it in review/common/*.cc review/[1-5]/*.cc; do
  [ -e "$it" ] || continue
  name="$(echo "$it" | tr '/' '_')"
  g++ $flags -c "$it" -o "build-review/${name%.cc}.o" &
  pids+=($!)
done
for it in "${pids[@]}"; do
  wait "$it"
done
for case in review/[1-5]/; do
  n="$(basename "$case")"
  [ -e "build-review/review_${n}_case.o" ] || continue
  g++ "build-review/review_${n}_case.o" build-review/review_common_*.o \
    -o "build-review/case-$n" -lpthread
done
