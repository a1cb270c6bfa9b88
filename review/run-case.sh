#!/bin/bash
# Runs one case: run-case.sh NAME FOLDER. Starts the case's stand-ins, and its controllers with the
# command of the deploy file, and ends all of them. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run.
set -u
name=$1 folder=$2
cd "$(dirname "$0")/.."
if [ ! -x target/thornnotch ] || [ ! -x target/review-rig ]; then
	echo "first run the build of deploy/service.toml and review/build.sh" >&2
	exit 2
fi
work=$(mktemp -d)
nodes=()
rig=
cleanup() {
	for pid in $rig "${nodes[@]}"; do
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
target/review-rig "$name" "$work" "$folder/record.txt" &
rig=$!
for _ in $(seq 100); do
	[ -e "$work/settings-written" ] && break
	sleep 0.1
done
[ -e "$work/settings-written" ] || exit 2
for settings in "$work"/node-?.toml; do
	LOG_LEVEL=${LOG_LEVEL:-info} target/thornnotch --config "$settings" 2>"${settings%.toml}.log" &
	nodes+=($!)
done
wait "$rig"
code=$?
rig=
for log in "$work"/node-?.log; do
	{
		echo "--- $(basename "$log")"
		grep -v 'msg=load' "$log" | head -n 400
	} >>"$folder/record.txt"
done
case $code in 0 | 1) exit $code ;; esac
exit 2
