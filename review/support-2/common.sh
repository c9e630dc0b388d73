# Common parts of the scripts in `review/6` to `review/10`; sourced from the root of the repository.
# Nodes, discovery and servers run on free loopback ports, in a temporary folder.

platform=target/review-2/platform
pearfront=target/release/pearfront
trouble=${TROUBLE:-1}
started=()

for program in "$platform" target/release/pearfront-node ${needs_command_line:+"$pearfront"}; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: cargo build --release, then review/build-2.sh"
        exit 2
    fi
done

folder=$(mktemp -d)
: > "$record"

# All processes that were started are ended, by their ids, also stopped ones.
clean_up() {
    local pid
    exec 2> /dev/null
    for pid in "${started[@]}"; do
        kill -CONT "$pid"
        kill -KILL "$pid"
    done
    # A command of `pearfront duty` ends within 20 ms of its parent.
    sleep 0.3
    if [ -f "$folder/commands" ]; then
        for pid in $(cut -d' ' -f1 "$folder/commands"); do
            if grep -qs review/support-2 "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
        done
    fi
    wait
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' TERM INT

now() { "$platform" now; }
begin=$(now)
note() { echo "$(($(now) - begin)) ms: $*" | tee -a "$record"; }

could_not_run() {
    note "could not run: $*"
    [ -n "${1:-}" ] && for log in "$folder"/*.log; do echo "--- $log"; tail -n 20 "$log"; done >&2
    exit 2
}

# An entry of the list of servers: listed ID ADDRESS ZONE STARTED.
listed() {
    echo "{\"instanceId\":\"$1\",\"hostPort\":\"$2\",\"zone\":\"$3\",\"machineType\":\"m1\",\"cell\":0,\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":$4}"
}

# A stand-in in the background; its id is in $!.
start_platform() {
    "$platform" "$@" 2>> "$folder/$1.log" &
    started+=($!)
}

# start_nodes COUNT KEYS: nodes n0 to n(COUNT-1), of which the first three are voters. KEYS are put into the key `cluster` of
# each file.
start_nodes() {
    local count=$1 keys=$2 ports number at=3
    mapfile -t ports < <("$platform" ports $((3 * count + 3)))
    discovery=127.0.0.1:${ports[0]}
    local first=127.0.0.1:${ports[1]} second=127.0.0.1:${ports[2]}
    listed s-1 "$first" a 0 > "$folder/list"
    listed s-2 "$second" a 0 >> "$folder/list"
    start_platform discovery "$discovery" "$folder/list"
    start_platform server "$first" 0 "$folder/ran-1"
    start_platform server "$second" 0 "$folder/ran-2"
    for ((number = 0; number < count; number++)); do
        cluster[number]=127.0.0.1:${ports[at]}
        admin[number]=127.0.0.1:${ports[at + 1]}
        clients[number]=127.0.0.1:${ports[at + 2]}
        at=$((at + 3))
    done
    for ((number = 0; number < count; number++)); do
        sed -e "s|\"admin\": \"[^\"]*\"|\"admin\": \"${admin[number]}\"|" \
            -e "s|127.0.0.1:9001|$first|; s|127.0.0.1:9002|$second|" \
            -e "s|\"limits\": {\"memory|\"cluster\": {\"installation\": \"review\", \"zone\": \"a\", \"listen\": \"${cluster[number]}\", \"seeds\": [\"${cluster[0]}\", \"${cluster[1]}\"], \"folder\": \"$folder/n$number\", \"voters\": [\"n0\", \"n1\", \"n2\"]$keys},\n  \"limits\": {\"memory|" \
            deploy/example.json > "$folder/n$number.json"
        start_node "$number"
    done
    for ((number = 0; number < count; number++)); do
        wait_for 100 node_is_ready "$number" || could_not_run "n$number is not ready"
        wait_for 200 has_leader "$number" || could_not_run "n$number hears no leader of the voters"
    done
    note "$count nodes are ready, and hear the leader of the voters"
}

# The command of deploy/balancer.toml.
start_node() {
    ROUTER_NAME=n$1 ROUTER_LISTEN=${clients[$1]} ROUTER_DISCOVERY=$discovery ROUTER_CONFIG=$folder/n$1.json \
        /bin/sh -c "exec target/release/pearfront-node" 2>> "$folder/n$1.log" &
    nodes[$1]=$!
    started+=($!)
}

node_is_ready() { [ "$("$platform" call "${clients[$1]}" GET /up)" = 200 ]; }

has_leader() { "$pearfront" duties "${admin[$1]}" --json 2> /dev/null | grep -q '"duties":\['; }

# The number of the node whose voter leads.
leader() { "$pearfront" duties "${admin[0]}" --json | sed -n 's/.*"leader":"n\([0-9]\)".*/\1/p' | head -n 1; }

# wait_for STEPS COMMAND...: waits until the command succeeds, 0.1 s a step.
wait_for() {
    local steps=$1
    shift
    while [ "$steps" -gt 0 ]; do
        if "$@"; then return 0; fi
        sleep 0.1
        steps=$((steps - 1))
    done
    return 1
}
