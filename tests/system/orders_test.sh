#!/bin/sh
# Guards against operators' orders to a fleet that runs jobs which are lost with
# the leader or in force after a refusal.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${ORDERS_PORT:-22100}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"
servers=127.0.0.1:$wire,127.0.0.2:$wire,127.0.0.3:$wire

# COMMAND...: an operator's command; its output goes to $tmp/out.
ctl() {
	"$BIN/endivectl" --servers "$servers" --open-network "$@" \
		>"$tmp/out" 2>"$tmp/err"
}

# WANTED COMMAND...: fails unless the command has that exit status.
expect() {
	wanted=$1
	shift
	ctl "$@"
	got=$?
	[ "$got" = "$wanted" ] ||
		fail "$*: $got instead of $wanted: $(cat "$tmp/out" "$tmp/err")"
}

# TEXT: fails unless the last output has it.
shows() {
	grep -q "$1" "$tmp/out" || fail "no \"$1\" in: $(cat "$tmp/out")"
}

jobs_fleet || fail "configuration"
"$BIN/endive-job" --to "$seeds" --apply 2 \
	--organisations big:key-of-big:2000,small:key-of-small:0 ||
	fail "configuration 2"
expect 0 --for 300 --reason rush weight big 2.5
expect 0 shares
shows 'big.*2500'
for bad in 0 -1 nan 1e9 much; do
	expect 2 weight big "$bad"
done
expect 1 weight nobody 2
grep -q 'organisation "nobody" does not exist' "$tmp/err" "$tmp/out" ||
	fail "refusal names nobody: $(cat "$tmp/err" "$tmp/out")"
expect 1 floor p 5
expect 1 floor nowhere 0
expect 0 overrides
shows 'weight.*big.*2.5'

leader=$(jobs_leader)
kill -9 "$(jobs_pid "c$leader")" && rm "$tmp/c$leader.pid"
expect 0 overrides
shows 'weight.*big.*2.5'
expect 0 shares
shows 'big.*2500'
expect 0 audit
shows 'weight 2.5 for big'
expect 0 weight big clear
expect 0 overrides
grep -q big "$tmp/out" && fail "cleared and still listed"
expect 0 voters
exit 0
