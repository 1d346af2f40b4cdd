#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/sidecar ] || { echo "build the project and review/build.sh first"; exit 2; }
exec target/review-standin shared-path target/sidecar review/3/record.txt
