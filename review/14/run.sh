#!/usr/bin/env bash
# Exits with 1 if rule ONE was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the drill.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/operate/peridotgate ] && [ -x build-review-3/drill_orders ] || exit 2
timeout -k 5 110 build-review-3/drill_orders "$folder" review/14/record.txt "${TROUBLE:-1}"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
