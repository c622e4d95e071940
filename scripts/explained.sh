#!/usr/bin/env bash
# Prints the share of a run's unserved requests that the hosts' logs explain.
#   usage: scripts/explained.sh RUN-OUTPUT
# RUN-OUTPUT holds the report of a run, which names each such request as "request ID",
# and the log lines of all hosts. Exits with 1 unless every named request that reached
# a host has a log line with its cause. A request that the report marks with
# "no connection" reached no host: its host was down, which shows in the lines of the
# host's next start.
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
