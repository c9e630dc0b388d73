#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start, behind the build of the deploy file: the stand-ins for clients,
# servers, discovery and the way to them, and the command line (`pearfront`), which review/8 and review/9 need.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/platform review/support-2/platform.rs
cargo build --release --locked -p pearfront-cli
