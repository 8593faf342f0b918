#!/bin/sh
# One entry daemon through real processes: requests a second beside the bare
# stand-in target (a libevhtp server that answers the same size) in the same
# run, time added to a request, and memory with many open connections.
set -u
cd "$(dirname "$0")/.." || exit 2
BIN=build/bin
PORT=${ENTRY_BENCH_PORT:-24000}
. tests/system/fleet.sh
trap fleet_end EXIT

SECONDS_EACH=${SECONDS_EACH:-4}
CALLERS=48
CONNS=3000

line() {
	printf '%s\t%s\t%s\t%s\n' "$@"
}

# column NAME: of the last line of the load tool's counts.
column() {
	awk -F '\t' -v want="$1" 'NR == 1 { for (i = 1; i <= NF; i++)
		if ($i == want) c = i } { v = $c } END { print v }' "$tmp/tsv"
}

# rate ADDRESS: whole answers a second to callers that ask without a pause.
rate() {
	"$BIN/endive-load" --entry "$1" --path /check/work --size 1000 \
		--closed $CALLERS --conns $CALLERS \
		--schedule "${SECONDS_EACH}s@1" --tsv "$tmp/tsv" >"$tmp/table"
	echo "$(column whole) $SECONDS_EACH" | awk '{ printf "%d", $1 / $2 }'
}

fleet_start >/dev/null 2>&1 && fleet_apply >/dev/null 2>&1 && fleet_ready ||
	exit 1
bare=$(rate "127.0.0.1:$((PORT + 202))")
bare_p99=$(column p99_ms)
cpu=$(metric 1 process_cpu_seconds_total)
through=$(rate "$(entry_addr 1)")
busy=$(metric 1 process_cpu_seconds_total)
line entry_requests "$through" 1/s "$bare"
line entry_share_of_bare "$(echo "$through $bare" |
	awk '{ printf "%.2f", $1 / $2 }')" x 0.4
line entry_core_used "$(echo "$busy $cpu $SECONDS_EACH" |
	awk '{ printf "%.2f", ($1 - $2) / $3 }')" core 1
line entry_p99 "$(column p99_ms)" ms "$bare_p99"
ulimit -n 8192 2>/dev/null
"$BIN/endive-load" --entry "$(entry_addr 1)" --path /check/work --size 1000 \
	--closed $CONNS --conns $CONNS --schedule 4s@1 --timeout-ms 5000 \
	--tsv "$tmp/tsv" >"$tmp/table" 2>&1 &
load=$!
pids="$pids $load"
sleep 3
open=$(metric 1 endive_caller_connections)
line entry_open_connections "$open" 1 $CONNS
line entry_memory_at_them "$(metric 1 process_resident_memory_bytes |
	awk '{ printf "%.1f", $1 / 1048576 }')" MB 64
wait $load
