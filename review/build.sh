#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the project's command line, which starts duties. Run it after the deploy file's
# build; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p pearfront-cli
mkdir -p target/review
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    rustc --edition 2024 -O -o "target/review/case-$number" "$folder/stand_in.rs"
done
