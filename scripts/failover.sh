#!/usr/bin/env bash
# Measures on a complete cluster on this machine how long a change of the lists takes to be active
# on all instances, and how long the partitions and workers of a killed instance remain without a
# holder.
#
# Usage: scripts/failover.sh [nusqa|sulina|zoomwerk] [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-nusqa} rounds=${2:-3}
cargo build --locked --release --bins --quiet
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$work"' EXIT

# Prints the sum of the status field $1 over the instances that respond.
sum_of() {
  local index total=0 value
  for ((index = 0; index < instances; index++)); do
    value=$(curl -s -m 1 -H "Authorization: Bearer $(cat "$work/cluster.secret")" \
      "http://127.0.0.1:$((callers_port + index))/v1/operator/status" |
      grep -o "\"$1\":[0-9]*" | cut -d: -f2) || true
    total=$((total + ${value:-0}))
  done
  echo "$total"
}

# Polls until the sum of the status field $1 is at least $2, at most 600 times, then prints the
# seconds since $3, also if the sum was not reached.
wait_for_sum() {
  local attempt
  for ((attempt = 0; attempt < 600; attempt++)); do
    [ "$(sum_of "$1")" -ge "$2" ] && break
    sleep 0.02
  done
  echo "$EPOCHREALTIME $3" | awk '{ printf "%.2f", $1 - $2 }'
}

start_cluster
wait_for_sum workers_held 48 "$EPOCHREALTIME" > "$work/ignored"
for ((round = 0; round < rounds; round++)); do
  "$bin/ferryctl" show --store "127.0.0.1:$store_port" --out "$work/shown" > "$work/ignored" 2>&1 || true
  revision=$("$bin/ferryctl" show --store "127.0.0.1:$store_port" --format json |
    grep -o '"revision": *[0-9]*' | grep -o '[0-9]*$' | sort -n | tail -1)
  sed "s/^weight = .*/weight = $((round + 5))/" "examples/$deployment/plans.ini" > "$work/plans.ini"
  started=$EPOCHREALTIME
  "$bin/ferryctl" apply --store "127.0.0.1:$store_port" --expect-revision "$revision" \
    --plans "$work/plans.ini" --wait --poll-ms 20 --instances "$(instance_addresses)" \
    --secret-file "$work/cluster.secret" > "$work/ignored"
  echo "round $round: change in force on all instances after" \
    "$(echo "$EPOCHREALTIME $started" | awk '{ printf "%.2f", $1 - $2 }') s"
  killed_instance=$((round % instances))
  kill -KILL "${instance_pids[killed_instance]}"
  started=$EPOCHREALTIME
  workers=$(wait_for_sum workers_held 48 "$started")
  partitions=$(wait_for_sum partitions_owned 256 "$started")
  echo "round $round: after a kill, all workers held again after $workers s," \
    "all partitions served again after $partitions s"
  start_instance "$killed_instance"
  sleep 8
done
