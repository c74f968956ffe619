#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10; the programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc -O --edition 2024 -o target/release/review-rig-2 review/rig-2.rs
