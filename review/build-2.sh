#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the stand-in of the store of this project.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/standin-2 ./review/_standin-2
