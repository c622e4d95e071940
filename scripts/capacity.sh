#!/usr/bin/env bash
# Measures on loopback how the cost of an entry host without requests (CPU, memory and
# control messages) grows with the number of upstreams in its data centre. For each size
# N it starts the log stand-in, N target stand-ins (one service, one data centre) and the
# entry hosts, publishes a manifest and waits a fixed time for the hosts to settle. Over
# a window without requests it then measures the CPU time (utime+stime) and resident
# memory of all hosts and the control messages of the first host. Prints one line per
# size; docs/CAPACITY.md is derived from them.
#   usage: scripts/capacity.sh [window_seconds] [hosts] [sizes...]
set -euo pipefail
cd "$(dirname "$0")/.."
window=${1:-10}; hosts=${2:-1}; shift 2 || true
sizes=${*:-10 40 160}
work=$(mktemp -d); bin=$work/bin; pids=()
cleanup() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap cleanup EXIT
go build -o "$bin/" ./cmd/...
tick=$(getconf CLK_TCK)

cpu() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
counter() { curl -s "$1/metrics" | awk -v k="$2" 'index($0,k)==1 {print $2}'; }

echo "upstreams hosts window_s cpu_pct_per_host rss_mb_per_host log_reads_per_s probes_per_s grants_per_s grant_kb_per_s"
for n in $sizes; do
  pids=()
  python3 - "$n" > "$work/m.json" <<'PY'
import json, sys
n = int(sys.argv[1])
ups = [{"name": f"svc-{i:03d}", "addr": f"127.0.0.1:{20000+i}", "data_centre": "dc1", "slots": 3, "connections": 8} for i in range(n)]
print(json.dumps({"deployment": "capacity", "data_centres": ["dc1"], "services": [{"name": "svc", "fencing_checked": True, "upstreams": ups}]}))
PY
  "$bin/papayatide-standin" log --listen 127.0.0.1:7400 & pids+=($!)
  for i in $(seq 0 $((n-1))); do
    "$bin/papayatide-standin" target --manifest "$work/m.json" --upstream "$(printf 'svc-%03d' "$i")" & pids+=($!)
  done
  dpids=()
  for h in $(seq 1 "$hosts"); do
    cat > "$work/h$h.ini" <<INI
[host]
name = dc1-e$h
data_centre = dc1
listen = 127.0.0.1:$((7500+h))
admin_listen = 127.0.0.1:$((7600+h))
log_level = warn
[log]
addr = http://127.0.0.1:7400
INI
    "$bin/papayatided" -config "$work/h$h.ini" & pids+=($!); dpids+=($!)
  done
  sleep 1
  "$bin/papayatide" --log http://127.0.0.1:7400 publish --file "$work/m.json" >/dev/null
  sleep 4
  a=http://127.0.0.1:7601
  c0=0; for p in "${dpids[@]}"; do c0=$((c0+$(cpu "$p"))); done
  r0=$(counter $a 'papayatide_control_messages_total{kind="log_read"}')
  p0=$(counter $a 'papayatide_control_messages_total{kind="probe"}')
  g0=$(counter $a 'papayatide_control_messages_total{kind="grant"}')
  b0=$(counter $a 'papayatide_control_grant_bytes_total')
  sleep "$window"
  c1=0; m=0; for p in "${dpids[@]}"; do c1=$((c1+$(cpu "$p"))); m=$((m+$(rss "$p"))); done
  r1=$(counter $a 'papayatide_control_messages_total{kind="log_read"}')
  p1=$(counter $a 'papayatide_control_messages_total{kind="probe"}')
  g1=$(counter $a 'papayatide_control_messages_total{kind="grant"}')
  b1=$(counter $a 'papayatide_control_grant_bytes_total')
  python3 -c "
n,h,w,t=$n,$hosts,$window,$tick
print(n, h, w, round(100*($c1-$c0)/t/w/h,2), round($m/1024/h,1), round(($r1-$r0)/w,1), round(($p1-$p0)/w,1), round(($g1-$g0)/w,1), round(($b1-$b0)/w/1024,1))"
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true
done
