#!/bin/bash
# Plays a finding that is no case, see review/REPORT-2.md: run.sh identical [SEED]. The exit codes are those of the cases.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/hornbeamdyke ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
record=$(mktemp) || exit 2
trap 'rm -f "$record"' EXIT
target/review-2/standin-2 "${1:-identical}" "$record" ${2:+"$2"}
