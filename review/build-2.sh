#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review's second part start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/rig-2 ./review/rig-2
