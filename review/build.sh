#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
go test -c -o ../../target/review-standin .
