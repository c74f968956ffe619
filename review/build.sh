#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o "${RIG:-target/review/rig}" review/rig.rs
