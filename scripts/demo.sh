#!/usr/bin/env bash
# Runs an example manifest (default siam-sludge) on loopback, with a stand-in for the
# log service, a target stand-in per upstream and an entry host per data centre.
# Publishes the manifest, sends keyed requests, kills a key's owner and measures the
# time until the key is served again, and shows that a manifest is rejected if another
# one was published since its --base. Stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${1:-siam-sludge}
work=$(mktemp -d)
bin=$work/bin
pids=()
cleanup() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap cleanup EXIT

go build -o "$bin/" ./cmd/...
"$bin/papayatide-standin" log --listen 127.0.0.1:7000 2>"$work/log.err" & pids+=($!)

mapfile -t ups < <(python3 -c 'import json,sys; m=json.load(open(sys.argv[1])); [print(u["name"], u["data_centre"]) for s in m["services"] for u in s["upstreams"]]' internal/manifest/examples/$example.json)
mapfile -t dcs < <(python3 -c 'import json,sys; [print(d) for d in json.load(open(sys.argv[1]))["data_centres"]]' internal/manifest/examples/$example.json)
declare -A tpid
for line in "${ups[@]}"; do
  name=${line%% *}
  "$bin/papayatide-standin" target --example "$example" --upstream "$name" --drain-wait 200ms 2>>"$work/targets.err" & pids+=($!); tpid[$name]=$!
done

admins=()
i=1
for dc in "${dcs[@]}"; do
  cat > "$work/e$i.ini" <<INI
[host]
name = $dc-e1
data_centre = $dc
listen = 127.0.0.1:808$i
admin_listen = 127.0.0.1:908$i
[log]
addr = http://127.0.0.1:7000
poll_interval = 50ms
[routing]
grant_lease = 1s
probe_interval = 100ms
probe_failures = 2
INI
  "$bin/papayatided" -config "$work/e$i.ini" 2>"$work/e$i.log" & pids+=($!)
  admins+=("http://127.0.0.1:908$i")
  i=$((i+1))
done
admin_csv=$(IFS=,; echo "${admins[*]}")

sleep 0.5
"$bin/papayatide" publish --example "$example" --base -1
for _ in $(seq 50); do curl -sf http://127.0.0.1:9081/readyz >/dev/null && break; sleep 0.1; done
sleep 1.5
"$bin/papayatide" status --admin "$admin_csv"

svc=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["services"][0]["name"])' internal/manifest/examples/$example.json)
echo "--- keyed requests to $svc through each entry host"
for i in 1 2 3; do
  curl -s "http://127.0.0.1:808$i/$svc/job-42"; echo
done
curl -s -X POST -H 'Idempotency-Key: pay-1' "http://127.0.0.1:8081/$svc/job-42"; echo
curl -s -X POST -H 'Idempotency-Key: pay-1' "http://127.0.0.1:8082/$svc/job-42"; echo

owner=$(curl -s "http://127.0.0.1:8081/$svc/job-42" | python3 -c 'import json,sys; print(json.load(sys.stdin)["upstream"])')
echo "--- killing $owner, the owner of $svc/job-42"
kill -9 "${tpid[$owner]}"
start=$(date +%s%N)
for _ in $(seq 100); do
  out=$(curl -s "http://127.0.0.1:8081/$svc/job-42")
  if echo "$out" | grep -q '"upstream"'; then break; fi
  sleep 0.05
done
end=$(date +%s%N)
echo "$out"
echo "served again after $(( (end-start)/1000000 )) ms"

echo "--- a publish from a stale base is rejected"
"$bin/papayatide" publish --example "$example" --base -1 || true
"$bin/papayatide" status --admin "$admin_csv"
echo "--- service-level burn"
"$bin/papayatide" burn --admin "$admin_csv"
