#!/usr/bin/env bash
# Runs a complete cluster of separate processes on this machine and replays sample requests against it.
#
# Usage: scripts/demo.sh [nusqa|sulina|zoomwerk]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-nusqa}
[ -d "examples/$deployment" ] || { echo "unknown deployment $deployment, expected nusqa, sulina or zoomwerk" >&2; exit 2; }
profile=${PROFILE:-release}
if [ "$profile" = release ]; then cargo build --locked --release --bins; else cargo build --locked --bins; fi
bin=${CARGO_TARGET_DIR:-target}/$([ "$profile" = release ] && echo release || echo debug)
work=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$work"' EXIT

# Applies lists with errors and fails unless they are refused and the lists in force are unchanged.
apply_bad_lists() {
  local store="127.0.0.1:$store_port" code=0
  "$bin/ferryctl" show --store "$store" > "$work/lists-before"
  "$bin/ferryctl" apply --store "$store" --expect-revision 2 \
    --customers "examples/$deployment/bad-customers.ini" \
    --plans "examples/$deployment/bad-plans.ini" || code=$?
  [ "$code" = 2 ] || fail "applying lists with errors exited with $code, expected 2"
  "$bin/ferryctl" show --store "$store" | cmp -s - "$work/lists-before" \
    || fail "lists with errors were applied"
}

start_cluster
if [ -e "examples/$deployment/bad-customers.ini" ]; then apply_bad_lists; fi
"$bin/ferry-load" replay --samples "examples/$deployment/samples.jsonl" \
  --instances "$(instance_addresses)"
