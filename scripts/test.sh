#!/usr/bin/env bash
# The project's test command: formatting, vet, staticcheck, every test with
# the race detector, and a short run of each fuzz target. Needs only Go (and
# gcc for -race); modules come from the proxy.
set -euo pipefail
cd "$(dirname "$0")/.."
# staticcheck is pinned so that a new release cannot fail an old commit.
staticcheck=honnef.co/go/tools/cmd/staticcheck@v0.8.2
fuzz_time=3s

unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  echo "gofmt would change:"; echo "$unformatted"; exit 1
fi
go vet ./...
go run "$staticcheck" ./...
# Tests listed in KNOWN-RED.txt have known failures that are not fixed yet. They are
# skipped, and the list is printed.
known_red=$(awk -F ' [|] ' 'NF > 1 { print $1 }' KNOWN-RED.txt | paste -sd '|')
if [ -n "$known_red" ]; then
  echo "skipped, with known failures:"; cat KNOWN-RED.txt
fi
# The race detector's runtime has aborted when many tests of internal/entryhost, each
# with several hosts on a fake clock, ran in parallel. That package therefore runs few
# of its tests at a time.
go test -race -count=1 ${known_red:+-skip "^($known_red)\$"} $(go list ./... | grep -v /internal/entryhost$)
go test -race -count=1 -parallel 2 ${known_red:+-skip "^($known_red)\$"} ./internal/entryhost
for target in internal/ownership:FuzzDecode internal/explain:FuzzRead platform:FuzzDecodeBatch platform:FuzzDesired platform:FuzzUpstream internal/settings:FuzzParseEntry internal/dispatch:FuzzRequest internal/feedback:FuzzDecode; do
  go test -run '^$' -fuzz "^${target#*:}\$" -fuzztime "$fuzz_time" "./${target%:*}"
done
