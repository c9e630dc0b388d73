# Shared by the cases that start nodes with a `cluster` key: starting, waiting and ending. Sourced with `root`, `here`,
# `folder` and `stand_in` set; every process that is started stands in `processes`.
processes=()
deploy_run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
record=$here/record.txt
begun=$(date +%s%N)

say() { printf '%8d ms  %s\n' $((($(date +%s%N) - begun) / 1000000)) "$*" >> "$record"; }

finish() {
    for process in "${processes[@]}"; do
        kill -CONT "$process" 2>/dev/null
        kill -KILL "$process" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$folder"
}

start_discovery() {
    "$stand_in" discovery "$folder/discovery" & processes+=($!)
    for _ in $(seq 100); do [[ -e $folder/discovery ]] && break; sleep 0.05; done
    discovery=$(cat "$folder/discovery") || exit 2
}

# start_node NAME LISTEN-PORT: by the deploy file's command, with the file $folder/NAME.json.
start_node() {
    mkdir -p "$folder/$1.tmp"
    TMPDIR=$folder/$1.tmp ROUTER_NAME=$1 ROUTER_LISTEN=127.0.0.1:$2 ROUTER_DISCOVERY=$discovery \
        ROUTER_CONFIG=$folder/$1.json /bin/sh -c "$deploy_run" >> "$folder/$1.log" 2>&1 &
    started=$!
    processes+=("$started")
}

# write_file NAME ADMIN-PORT CLUSTER: deploy/example.json with this operators' address and this `cluster`.
write_file() {
    sed -e "s|\"admin\": \"[^\"]*\"|\"admin\": \"127.0.0.1:$2\"|" \
        -e "s|\"limits\": {\"memory_mb\"|\"cluster\": $3,\n  \"limits\": {\"memory_mb\"|" deploy/example.json > "$folder/$1.json"
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
    local until=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        ((SECONDS < until)) || return 1
        sleep 0.1
    done
}

# Does a leader of the voters answer through the node with this operators' port?
has_leader() { target/release/pearfront duties "127.0.0.1:$1" --json | grep -q '"duties": *\['; }
