#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout -k 2 118 target/review-rig -case slow-pipelines -record "$here/record.txt" -dir "$tmp" -seed "${SEED:-1}"
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
