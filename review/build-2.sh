#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2/:
# the stand-ins, and a driver for each script.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 9 10; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/case-$case" \
    "review/$case/case.cc" review/stand-ins-2/stand_ins.cc
done
