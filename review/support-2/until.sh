#!/usr/bin/env bash
# A command that `pearfront duty` runs: until.sh FOLDER NAME FILE. It ends with 0 once the file is there, and notes in
# FOLDER/runs when it began and ended: `NAME TOKEN begin|end MS`.
folder=$1 name=$2
now() { local up; read -r up _ < /proc/uptime; echo $((10#${up/./} * 10)); }
echo "$$ $name" >> "$folder/commands"
echo "$name $PEARFRONT_TOKEN begin $(now)" >> "$folder/runs"
while [ ! -e "$3" ]; do sleep 0.02; done
echo "$name $PEARFRONT_TOKEN end $(now)" >> "$folder/runs"
