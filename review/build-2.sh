#!/bin/bash
# Builds the stand-ins of the second review (cases 4 to 8), after the build of the deploy file.
# Needs no network: it uses the project's own modules only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 ./review/_rig2
