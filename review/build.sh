#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the project's command line, with which duties are started (case 2). Run it after the
# deploy file's build. The command line needs crates of Cargo.lock that the deploy file's build does not fetch: where they are
# not there yet, this build needs the package mirrors, as that one does. The cases need no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    rustc --edition 2024 -O -o "target/review/case-$number" "$folder/stand_in.rs"
done
cargo build --release --locked -p pearfront-cli
