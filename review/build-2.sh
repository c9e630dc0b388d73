#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start, behind the build of the deploy file: the command line, and the
# stand-ins for discovery, servers and the way between nodes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p pearfront-cli
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/platform review/support-2/platform.rs
