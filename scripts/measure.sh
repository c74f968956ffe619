#!/usr/bin/env bash
# Runs one experiment on a complete cluster on this machine and prints the CPU, memory, network and
# store usage of each instance.
#
# Usage: scripts/measure.sh DEPLOYMENT EXPERIMENT.ini [RESULT.csv]
# Environment: policy=baseline, instances=N and workers=N override the cluster settings; rate_per_s=N
# and duration_s=N override the experiment settings.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1 experiment=$2 result=${3:-}
cargo build --locked --release --bins --quiet
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$work"' EXIT

# Prints the CPU ticks used so far and the resident memory in KiB of process $1.
usage_of() {
  local stat=($(sed 's/.*) //' "/proc/$1/stat"))
  echo "$((stat[11] + stat[12])) $(awk '/VmRSS/ { print $2 }' "/proc/$1/status")"
}

# Prints the value of gauge $2 of instance $1.
gauge_of() {
  local value
  value=$(curl -s -H "Authorization: Bearer $(cat "$work/cluster.secret")" \
    "http://127.0.0.1:$((callers_port + $1))/v1/operator/status" |
    grep -o "\"$2\":[0-9]*" | cut -d: -f2)
  echo "${value:-0}"
}

gauges=(peer.control_bytes_sent peer.control_bytes_received peer.traffic_bytes_sent
  worker.calls worker.bytes_sent worker.bytes_received store.reads store.writes)

# Runs the command "$@" and prints the resource usage of each instance while it ran.
measure_command() {
  local index gauge ticks=() started=$EPOCHREALTIME
  declare -A before=()
  for ((index = 0; index < instances; index++)); do
    ticks[index]=$(usage_of "${instance_pids[index]}" | cut -d' ' -f1)
    for gauge in "${gauges[@]}"; do before["$index,$gauge"]=$(gauge_of "$index" "$gauge"); done
  done
  "$@"
  local seconds
  seconds=$(echo "$EPOCHREALTIME $started" | awk '{ print $1 - $2 }')
  for ((index = 0; index < instances; index++)); do
    local now=($(usage_of "${instance_pids[index]}"))
    awk -v n="$index" -v s="$seconds" -v t="$((now[0] - ticks[index]))" -v rss="${now[1]}" \
      -v hz="$(getconf CLK_TCK)" 'BEGIN {
        printf "instance %d: %.1f%% of a core, %.1f MB resident", n, 100 * t / hz / s, rss / 1024 }'
    for gauge in "${gauges[@]}"; do
      awk -v g="$gauge" -v s="$seconds" -v v="$(($(gauge_of "$index" "$gauge") - before["$index,$gauge"]))" \
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
measure_command sleep 10
echo "load, $experiment"
measure_command "$bin/ferry-load" run --experiment "$work/experiment.ini" --instances "$(instance_addresses)" \
  ${result:+--csv "$result"}
