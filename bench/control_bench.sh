#!/bin/sh
# Three voters as real processes on loopback: time without a leader after
# kill -9, changes a second with syncs, and what an idle voter costs. Ports
# from CONTROL_PORT (21150) on.
set -u
cd "$(dirname "$0")/.." || exit 2
bin=$PWD/build/bin
port=${CONTROL_PORT:-21150}
rounds=${ROUNDS:-10}
idle=${IDLE_S:-10}
dir=$(mktemp -d)
peers=a=127.0.0.1:$port,b=127.0.0.1:$((port + 1)),c=127.0.0.1:$((port + 2))
voters=127.0.0.1:$port,127.0.0.1:$((port + 1)),127.0.0.1:$((port + 2))

finish() {
	for n in a b c; do
		kill -9 "$(cat "$dir/$n.pid")" 2>/dev/null
	done
	rm -rf "$dir"
}
trap finish EXIT

start() {
	i=$(($(printf %d "'$1") - 97))
	mkdir -p "$dir/$1"
	"$bin/endive-controld" --node "$1" --zone "z$i" \
		--listen "127.0.0.1:$((port + i))" \
		--http "127.0.0.1:$((port + 10 + i))" --peers "$peers" \
		--keys "$dir/keys" --data "$dir/$1" --initial \
		>>"$dir/$1.log" 2>&1 &
	echo $! >"$dir/$1.pid"
}

metric() {
	curl -s "http://127.0.0.1:$((port + 10 + $(printf %d "'$1") - 97))/metrics" |
		awk -v m="$2" '$1 == m { print $2 }'
}

leader() {
	for n in a b c; do
		[ "$(metric $n endive_voter_leads)" = 1 ] && echo $n && return
	done
}

submit() {
	"$bin/endive-submit" --keys "$dir/keys" --voters "$voters" \
		--timeout-ms 60000 "$@"
}

printf 'peer peer %064d\n' 1 >"$dir/keys"
chmod 600 "$dir/keys"
for n in a b c; do
	start $n
done
submit --prefix warm >"$dir/out" || exit 1

n=5000
submit --count $n --window 1 --prefix one >"$dir/out" || exit 1
awk -v n=$n '{ printf "control_changes_one_by_one\t%.0f\t1/s\t\n", n * 1000 / $4 }' "$dir/out"
submit --count $n --window 64 --prefix many >"$dir/out" || exit 1
awk -v n=$n '{ printf "control_changes_64_at_once\t%.0f\t1/s\t\n", n * 1000 / $4 }' "$dir/out"

l=$(leader)
in0=$(metric "$l" endive_wire_bytes_in)
out0=$(metric "$l" endive_wire_bytes_out)
cpu0=$(metric "$l" process_cpu_seconds_total)
sleep "$idle"
in1=$(metric "$l" endive_wire_bytes_in)
out1=$(metric "$l" endive_wire_bytes_out)
cpu1=$(metric "$l" process_cpu_seconds_total)
awk -v i="$((in1 - in0))" -v o="$((out1 - out0))" -v s="$idle" -v a="$cpu0" \
	-v b="$cpu1" -v m="$(metric "$l" process_resident_memory_bytes)" 'BEGIN {
	printf "control_leader_idle_bytes_in\t%.0f\tB/s\t3000\n", i / s
	printf "control_leader_idle_bytes_out\t%.0f\tB/s\t3000\n", o / s
	printf "control_leader_idle_cpu\t%.2f\t%%\t4.4\n", (b - a) * 100 / s
	printf "control_leader_memory\t%.1f\tMB\t64\n", m / 1e6 }'

# From the kill to the acceptance of a command by the next leader.
for r in $(seq "$rounds"); do
	l=$(leader)
	kill -9 "$(cat "$dir/$l.pid")"
	wait "$(cat "$dir/$l.pid")" 2>/dev/null
	submit --prefix "kill$r" >"$dir/out" || exit 1
	awk '{ print $4 }' "$dir/out" >>"$dir/times"
	start "$l"
	sleep 1
done
sort -n "$dir/times" | awk '{ t[NR] = $1 } END {
	printf "control_no_leader_after_kill_p50\t%d\tms\t2000\n", t[int((NR + 1) / 2)]
	printf "control_no_leader_after_kill_max\t%d\tms\t2000\n", t[NR] }'
