#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into build-review-3/.
set -eu
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
for source in net row_store replica gateways fleet callers; do
  g++ -std=c++20 -O1 -pthread -c "review/stand-ins-3/$source.cc" -o "$out/$source.o" &
done
for source in review/stand-ins-3/*_main.cc; do
  name=$(basename "$source" _main.cc)
  g++ -std=c++20 -O1 -pthread -c "$source" -o "$out/$name.main.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/stand-ins-3/*_main.cc; do
  name=$(basename "$source" _main.cc)
  g++ -pthread "$out/$name.main.o" "$out"/{net,row_store,replica,gateways,fleet,callers}.o -o "$out/$name"
done
