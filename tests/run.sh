#!/bin/sh
# Runs every test under the sanitizers, with fixed seeds and one verdict.
# A test named in KNOWN-RED.txt (first word of a line) is run and printed but
# does not fail the run. Output of a test is shown only when it fails.
set -u
cd "$(dirname "$0")/.." || exit 2
export RC_PARAMS="${RC_PARAMS:-seed=20261202 noshrink=1}"
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
export G_SLICE=always-malloc
# A range of ports for each work tree, so that two may be tested at once.
ports=$((12000 + $(pwd | cksum | cut -d ' ' -f 1) % 16 * 1000))
export CONTROL_PORT="${CONTROL_PORT:-$ports}"
export CLI_PORT="${CLI_PORT:-$((ports + 100))}"
export TOOLS_PORT="${TOOLS_PORT:-$((ports + 200))}"
export FAILURE_PORT="${FAILURE_PORT:-$((ports + 300))}"
export JOBS_PORT="${JOBS_PORT:-$((ports + 750))}"
export ADVICE_PORT="${ADVICE_PORT:-$((ports + 850))}"
export CUT_PORT="${CUT_PORT:-$((ports + 650))}"
export KEYS_PORT="${KEYS_PORT:-$((ports + 400))}"
export DISK_PORT="${DISK_PORT:-$((ports + 600))}"
export CARRY_PORT="${CARRY_PORT:-$((ports + 500))}"
export DESCRIPTORS_PORT="${DESCRIPTORS_PORT:-$((ports + 950))}"
export ORDERS_PORT="${ORDERS_PORT:-$((ports + 450))}"
export CROWD_PORT="${CROWD_PORT:-$((ports + 700))}"
out=build/test-out
rm -rf "$out"
mkdir -p "$out"

run_one() {
	name=$1
	shift
	if "$@" >"$out/$name.log" 2>&1; then
		echo "ok   $name" && : >"$out/$name.ok"
	elif grep -q "^$name " KNOWN-RED.txt 2>/dev/null; then
		echo "RED  $name (known: $(grep "^$name " KNOWN-RED.txt))"
		: >"$out/$name.red"
	else
		echo "FAIL $name"
		tail -40 "$out/$name.log"
		: >"$out/$name.bad"
	fi
}

if [ "${1:-}" = --one ]; then
	shift
	run_one "$@"
	exit 0
fi

jobs=$(nproc)
# Unit, property and fuzz programs share nothing and run side by side.
for t in build/san/tests/*; do
	case $t in *.d) continue ;; esac
	[ -x "$t" ] && echo "$t"
done >"$out/list"
running=0
while read -r t; do
	run_one "$(basename "$t")" "$t" &
	running=$((running + 1))
	if [ "$running" -ge "$jobs" ]; then
		wait
		running=0
	fi
done <"$out/list"
wait
# System tests start daemons on fixed ports, so one at a time.
for t in tests/system/*_test.sh tests/regress/run.sh; do
	[ -f "$t" ] && run_one "$(basename "$t" .sh)" sh "$t"
done
count() {
	find "$out" -name "*.$1" | wc -l
}
red=$(count red)
bad=$(count bad)
[ "$red" = 0 ] || echo "known red: $red, see KNOWN-RED.txt"
echo "$(count ok) passed, $bad failed"
[ "$bad" = 0 ]
