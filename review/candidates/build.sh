#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start beside the programs of the deploy file: the command line `pearfront`.
# Needs no network once the packages of Cargo.lock are at hand. The stand-ins are Python files of this folder
# (`lib2.py` and one in each case), run by python3 as they are; only its standard library is used.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p pearfront-cli
command -v python3 >/dev/null || { echo "build-2.sh: no python3" >&2; exit 1; }
