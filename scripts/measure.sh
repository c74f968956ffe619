#!/usr/bin/env bash
# Runs one experiment against a whole cluster on this machine and prints what control costs.
#
# Usage: scripts/measure.sh DEPLOYMENT EXPERIMENT.ini [RESULT.csv]
# Variables: policy=baseline, instances=N, workers=N change the cluster; rate_per_s=N and
# duration_s=N change the experiment.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1 experiment=$2 result=${3:-}
cargo build --locked --release --bins --quiet
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$work"' EXIT

# Prints CPU ticks used so far and resident memory in KiB of process $1.
usage_of() {
  local stat=($(sed 's/.*) //' "/proc/$1/stat"))
  echo "$((stat[11] + stat[12])) $(awk '/VmRSS/ { print $2 }' "/proc/$1/status")"
}

# Prints the gauge $2 of instance $1.
gauge_of() {
  local value
  value=$(curl -s -H "Authorization: Bearer $(cat "$work/cluster.secret")" \
    "http://127.0.0.1:$((callers_port + $1))/v1/operator/status" |
    grep -o "\"$2\":[0-9]*" | cut -d: -f2)
  echo "${value:-0}"
}

gauges=(peer.control_bytes_sent peer.control_bytes_received peer.traffic_bytes_sent
  worker.calls worker.bytes_sent worker.bytes_received store.reads store.writes)

# Prints the cost of each instance over command "$@".
measured() {
  local n gauge ticks=() started=$EPOCHREALTIME
  declare -A before=()
  for ((n = 0; n < instances; n++)); do
    ticks[n]=$(usage_of "${instance_pids[n]}" | cut -d' ' -f1)
    for gauge in "${gauges[@]}"; do before["$n,$gauge"]=$(gauge_of "$n" "$gauge"); done
  done
  "$@"
  local seconds
  seconds=$(echo "$EPOCHREALTIME $started" | awk '{ print $1 - $2 }')
  for ((n = 0; n < instances; n++)); do
    local now=($(usage_of "${instance_pids[n]}"))
    awk -v n="$n" -v s="$seconds" -v t="$((now[0] - ticks[n]))" -v rss="${now[1]}" \
      -v hz="$(getconf CLK_TCK)" 'BEGIN {
        printf "instance %d: %.1f%% of a core, %.1f MB resident", n, 100 * t / hz / s, rss / 1024 }'
    for gauge in "${gauges[@]}"; do
      awk -v g="$gauge" -v s="$seconds" -v v="$(($(gauge_of "$n" "$gauge") - before["$n,$gauge"]))" \
        'BEGIN { printf ", %s %.1f/s", g, v / s }'
    done
    echo
  done
  curl -s "http://127.0.0.1:$control_port/counts" || true
  echo
}

sed -e "s/^rate_per_s = .*/rate_per_s = ${rate_per_s:-&}/;s/rate_per_s = rate_per_s = /rate_per_s = /" \
  -e "s/^duration_s = .*/duration_s = ${duration_s:-&}/;s/duration_s = duration_s = /duration_s = /" \
  "$experiment" > "$work/experiment.ini"
start_cluster
echo "idle, 10 s"
measured sleep 10
echo "load, $experiment"
measured "$bin/ferry-load" run --experiment "$work/experiment.ini" --instances "$(instance_addresses)" \
  ${result:+--csv "$result"}
