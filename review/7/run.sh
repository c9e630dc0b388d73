#!/usr/bin/env bash
# Large answers that are written slowly, in pieces, are cut off in their middle. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
record=review/7/record.txt
. review/support-2/common.sh

mapfile -t ports < <("$platform" ports 8)
discovery=127.0.0.1:${ports[0]} admin[0]=127.0.0.1:${ports[1]} clients[0]=127.0.0.1:${ports[2]}
for ((number = 1; number <= 5; number++)); do server[number]=127.0.0.1:${ports[2 + number]}; done
# Time between two pieces of 30,000 bytes of one server of five, ms: 71 kB a second.
pause=420
[ "$trouble" != 0 ] || pause=100

sed -e "s|\"admin\": \"[^\"]*\"|\"admin\": \"${admin[0]}\"|" -e "s|127.0.0.1:9001|${server[1]}|; s|127.0.0.1:9002|${server[2]}|" \
    -e 's|"generation": 1,|"generation": 0,|' -e 's|"report": {[^}]*}|"report": {"fields": [], "via": "none"}|' \
    deploy/example.json > "$folder/n0.json"
: > "$folder/list"
for ((number = 1; number <= 5; number++)); do listed "s-$number" "${server[number]}" a 0 >> "$folder/list"; done
start_platform discovery "$discovery" "$folder/list"
start_platform slow-server "${server[1]}" "$pause" "$folder/ran-1"
for ((number = 2; number <= 5; number++)); do start_platform slow-server "${server[number]}" 100 "$folder/ran-$number"; done
start_node 0
wait_for 100 node_is_ready 0 || could_not_run "n0 is not ready"
sleep 1
note "ten clients send 5 requests each, with 1 s; a piece of an answer of s-1 comes each $pause ms, of the others each 100 ms"
callers=()
for ((number = 1; number <= 10; number++)); do
    start_platform reader "${clients[0]}" read 5 "$folder/answers"
    callers+=($!)
done
wait "${callers[@]}"
sleep 1
grep -v aside "$folder/n0.log" >> "$record"
for ((number = 1; number <= 5; number++)); do
    touch "$folder/ran-$number"
    sed "s/^/s-$number: /" "$folder/ran-$number" >> "$record"
done
sed 's/^/client: /' "$folder/answers" >> "$record"
whole=$(grep -c ' 200 whole ' "$folder/answers")
# The rule: an answer whose first bytes came in time is not cut off while its server still gives it.
cut=0
for id in $(awk '$3 == 200 && $4 == "broken" { print $2 }' "$folder/answers"); do
    if grep -q "$id cut off by the node" "$folder"/ran-[1-5]; then cut=$((cut + 1)); fi
done
[ -s "$folder/ran-1" ] || could_not_run "no request went to s-1"
note "answers of 50: $whole whole, $cut cut off by the node"
[ "$cut" -eq 0 ] || exit 1
[ "$whole" -gt 0 ] || could_not_run "no answer came"
exit 0
