#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
n="$(basename "$folder")"
cd "$folder/../.." || exit 2
# With TROUBLE=0 the case does the same without its disruption.
export TROUBLE="${TROUBLE:-1}"
REVIEW_TMP="$(mktemp -d)" || exit 2
export REVIEW_TMP
timeout -k 5 110 "build-review/case-$n" "review/$n"
rc=$?
if [ "$rc" -gt 1 ]; then
  rc=2
fi
rm -rf "$REVIEW_TMP"
exit "$rc"
