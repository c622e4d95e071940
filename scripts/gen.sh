#!/usr/bin/env bash
# Regenerates the committed protobuf and twirp code. Needs protoc (Debian's
# protobuf-compiler) and protoc-gen-go / protoc-gen-twirp on PATH:
#   go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
#   go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
set -euo pipefail
cd "$(dirname "$0")/.."
for p in logsvc admin peer refused; do
  protoc --go_out=. --go_opt=module=github.com/papayatide/papayatide \
    --twirp_out=. --twirp_opt=module=github.com/papayatide/papayatide \
    proto/$p/v1/*.proto
done
