#!/bin/bash
# Builds the stand-ins that the cases start, into target/. Run it after the build of the deploy
# file, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/_rig
