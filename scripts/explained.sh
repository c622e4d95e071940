#!/usr/bin/env bash
# Shows the share of a run's not-served requests that the hosts' logs explain.
#   scripts/explained.sh RUN-OUTPUT
# RUN-OUTPUT holds a run's report, which names requests as "request ID", and
# all hosts' log lines. Exits with 1 unless every named request that reached
# a host has a line that states a cause. A request for which the report shows
# "no connection" reached none: its host was down, as the lines of the host's
# next start say.
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(realpath "$1")
ids=$(mktemp)
trap 'rm -f "$ids"' EXIT
grep -v '"event":' "$run" | awk -v ids="$ids" '
  match($0, /request [0-9a-f]+ /) { flush(); id = substr($0, RSTART + 8, RLENGTH - 9); next }
  / no connection$/ { if (id != "") { id = ""; unreached++ } }
  function flush() { if (length(id) == 16) print id > ids; id = "" }
  END { flush(); printf "%d reached no host\n", unreached }'
sort -u -o "$ids" "$ids"
go run ./cmd/papayatide explain --ids "$ids" "$run"
