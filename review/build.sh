#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH=$PATH:/usr/local/go/bin
go build -trimpath -o target/review-rig ./review/rig
