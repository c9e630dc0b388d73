#!/usr/bin/env bash
# Runs a case five times with its disruption and once without: `review/five.sh 1`. Prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
codes=()
for _ in 1 2 3 4 5; do "review/$1/run.sh"; codes+=($?); done
TROUBLE=0 "review/$1/run.sh"
calm=$?
echo "case $1: ${codes[*]}, without the disruption: $calm"
