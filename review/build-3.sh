#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig-3 review/rig-3.rs
