#!/usr/bin/env bash
# Three nodes of one installation on this machine, to look at: files and logs go to the folder that is named, else to a
# fresh one. Ends them all with Ctrl-C. Needs `cargo build --release` and `cargo build --release -p pearfront-cli`.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-$(mktemp -d)}
mkdir -p "$folder"
nodes=()
trap 'kill "${nodes[@]}" 2>/dev/null || true' EXIT
for number in 0 1 2; do
    # Each has its own addresses; the first two are seeds of all.
    sed -e "s|\"admin\": \"[^\"]*\"|\"admin\": \"127.0.0.1:1500$number\"|" \
        -e "s|\"limits\":|\"cluster\": {\"installation\": \"example\", \"zone\": \"a\", \"listen\": \"127.0.0.1:1600$number\",\n              \"seeds\": [\"127.0.0.1:16000\", \"127.0.0.1:16001\"], \"folder\": \"$folder/n$number\",\n              \"voters\": [\"n0\", \"n1\", \"n2\"]},\n  \"limits\":|" \
        deploy/example.json > "$folder/n$number.json"
    ROUTER_NAME=n$number ROUTER_LISTEN=127.0.0.1:1700$number ROUTER_DISCOVERY=127.0.0.1:8500 \
        ROUTER_CONFIG=$folder/n$number.json target/release/pearfront-node 2> "$folder/n$number.log" &
    nodes+=($!)
done
echo "logs in $folder; look with: target/release/pearfront members 127.0.0.1:15000 --watch"
echo "and: target/release/pearfront duty export --node 127.0.0.1:15000 -- sleep 20"
wait
