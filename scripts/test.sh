#!/usr/bin/env bash
# The project's test command: formatting, vet, then every test with the race
# detector. Needs only Go (and gcc for -race); modules come from the proxy.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "gofmt would change:"; echo "$unformatted"; exit 1
fi
go vet ./...
go test -race -count=1 ./...
