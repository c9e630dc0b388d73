#!/usr/bin/env bash
# A command that `pearfront duty` runs: act.sh FOLDER NAME MS. For so many ms it acts every 50 ms: a line
# `NAME TOKEN begin|act|end MS` in FOLDER/acts. Its process id is kept in FOLDER/commands.
folder=$1 name=$2
now() { local up; read -r up _ < /proc/uptime; echo $((10#${up/./} * 10)); }
echo "$$ $name" >> "$folder/commands"
until=$(($(now) + $3))
echo "$name $PEARFRONT_TOKEN begin $(now)" >> "$folder/acts"
while [ "$(now)" -lt "$until" ]; do
    sleep 0.05
    echo "$name $PEARFRONT_TOKEN act $(now)" >> "$folder/acts"
done
echo "$name $PEARFRONT_TOKEN end $(now)" >> "$folder/acts"
