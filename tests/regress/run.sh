#!/bin/sh
# Runs endivectl in each folder of tests/regress/*/ by the arguments of its
# file cmd, and compares output and exit status with its file out. No daemon
# is asked. "run.sh --write" writes the files out anew, to be read in a diff.
set -u
cd "$(dirname "$0")" || exit 2
ctl=$PWD/../../build/san/bin/endivectl
bad=0
n=0
for cmd in */*/cmd; do
	dir=$(dirname "$cmd")
	# shellcheck disable=SC2046
	got=$(cd "$dir" && "$ctl" $(cat cmd) 2>&1; echo "exit $?")
	n=$((n + 1))
	if [ "${1:-}" = --write ]; then
		printf '%s\n' "$got" >"$dir/out"
	elif ! printf '%s\n' "$got" | diff -u "$dir/out" - ; then
		echo "differs: $dir"
		bad=$((bad + 1))
	fi
done
echo "$n cases, $bad differ"
[ "$bad" = 0 ] && [ "$n" -gt 0 ]
