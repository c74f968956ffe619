#!/usr/bin/env bash
# Runs a complete cluster of separate processes on this machine and replays sample requests against it.
#
# Usage: scripts/demo.sh [nusqa|sulina]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-nusqa}
[ -d "examples/$deployment" ] || { echo "unknown deployment $deployment, expected nusqa or sulina" >&2; exit 2; }
profile=${PROFILE:-release}
if [ "$profile" = release ]; then cargo build --locked --release --bins; else cargo build --locked --bins; fi
bin=${CARGO_TARGET_DIR:-target}/$([ "$profile" = release ] && echo release || echo debug)
work=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$work"' EXIT
start_cluster
"$bin/ferry-load" replay --samples "examples/$deployment/samples.jsonl" \
  --instances "$(instance_addresses)"
