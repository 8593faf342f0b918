#!/bin/sh
# Network partition of a zone: relays stop passing bytes without closing any
# connection, and later drop the connections to a target. Checks what callers,
# operators and the zone itself observe.
set -u
cd "$(dirname "$0")/../.." || exit 2
BIN=build/san/bin
PORT=${CUT_PORT:-21700}
. tests/system/fleet.sh
trap fleet_end EXIT
failed=0

# Relay K of 1..6: 1 and 2 lead from zone nw-c to voters 1 and 2; 3, 5 and 6
# lead from the other zones to voter 3 and to entry daemons 5 and 6; 4 leads to
# a target.
relay_addr() {
	echo "127.0.0.1:$((PORT + 300 + 2 * $1))"
}

relay_control() {
	echo "127.0.0.1:$((PORT + 301 + 2 * $1))"
}

start_relay() {
	start "relay$1" "$BIN/endive-relay" --listen "$(relay_addr "$1")" \
		--to "$2" --control "$(relay_control "$1")"
}

mode() {
	m=$1
	shift
	for k in "$@"; do
		curl -s -o "$tmp/mode" -d "mode=$m" \
			"http://$(relay_control "$k")/mode" || failed=1
	done
}

start_partition_voter() {
	case $1 in
	3) peers="v1=$(relay_addr 1),v2=$(relay_addr 2),v3=$(voter_addr 3)" ;;
	*) peers="v1=$(voter_addr 1),v2=$(voter_addr 2),v3=$(relay_addr 3)" ;;
	esac
	mkdir -p "$tmp/data$1"
	start "voter$1" "$BIN/endive-controld" --node "v$1" \
		--zone "$(zone_of "$1")" --listen "$(voter_addr "$1")" \
		--http "127.0.0.1:$((PORT + 101 + 10 * $1))" --peers "$peers" \
		--keys "$tmp/keys" --data "$tmp/data$1" --log-level "$LOG" \
		--initial
}

start_partition_entry() {
	case $1 in
	5 | 6)
		voters="$(relay_addr 1),$(relay_addr 2),$(voter_addr 3)"
		peers=$(list wire_addr 1 2 3 4 5 6)
		;;
	*)
		voters="$(voter_addr 1),$(voter_addr 2),$(relay_addr 3)"
		peers="$(list wire_addr 1 2 3 4),$(relay_addr 5),$(relay_addr 6)"
		;;
	esac
	start "entry$1" "$BIN/endive-entryd" --node "e$1" \
		--zone "$(zone_of $((($1 + 1) / 2)))" \
		--listen "$(entry_addr "$1")" --admin "$(admin_addr "$1")" \
		--wire "$(wire_addr "$1")" --voters "$voters" --peers "$peers" \
		--keys "$tmp/keys" --drain-ms 500 --log-level "$LOG"
}

# has_version ENTRY VERSION: whether the view of ENTRY is VERSION or newer.
has_version() {
	v=$(curl -s "http://$(admin_addr "$1")/status" |
		sed -n 's/^version=//p')
	[ "${v:-0}" -ge "$2" ]
}

# post ENTRY KEY: sends a request with an idempotency key; prints its status
# and outcome.
post() {
	curl -s -o "$tmp/body" -D "$tmp/head" -X POST -d body \
		-H "Idempotency-Key: $2" -H 'Endive-Deadline-Ms: 3000' \
		"http://$(entry_addr "$1")/valuation/work?ms=5&size=20"
	tr -d '\r' <"$tmp/head" | awk 'NR == 1 { s = $2 }
		$1 == "Endive-Outcome:" { o = $2 } END { print s, o }'
}

expect() {
	[ "$2" = "$3" ] && return
	echo "$1: expected $2, got $3"
	failed=1
}

# check_load NAME ARGS...: checks that every request of a load gets a complete
# answer.
check_load() {
	name=$1
	shift
	"$BIN/endive-load" --check --tsv "$tmp/tsv" "$@" >"$tmp/table" 2>&1
	left=$(awk -F '\t' 'NR == 1 { for (i = 1; i <= NF; i++) c[$i] = i }
		{ v = $c["due"] - $c["whole"] } END { print v }' "$tmp/tsv")
	[ "$left" = 0 ] && return
	echo "$name: $left answers not complete"
	cat "$tmp/table"
	failed=1
}

make_keys
start_relay 1 "$(voter_addr 1)"
start_relay 2 "$(voter_addr 2)"
start_relay 3 "$(voter_addr 3)"
start_relay 5 "$(wire_addr 5)"
start_relay 6 "$(wire_addr 6)"
for j in 1 2 3; do start_partition_voter $j; done
for i in 1 2 3 4 5 6; do start_partition_entry $i; done
start_targets
wait_for 15 ctl --timeout 2 voters
fleet_apply >"$tmp/apply" 2>&1 || { cat "$tmp/apply"; exit 1; }
fleet_ready || exit 1
for i in 1 2 3 4 5 6; do wait_for 10 key_replicas $i 2 || exit 1; done
key_a=$(curl -s "http://$(entry_addr 1)/endive/key")
key_c=$(curl -s "http://$(entry_addr 5)/endive/key")
key_c2=$(curl -s "http://$(entry_addr 5)/endive/key")
expect "key of zone c, sent in zone a" "200 ran" "$(post 1 "$key_c")"

# Guards against callers that wait for the other side of a partition. Zone nw-c
# is partitioned: bytes are dropped, no connection is closed. The targets on
# each side must serve the callers of that side.
mode silent 1 2 3 5 6
sleep 2
check_load "zone c, partitioned" --entry "$(list entry_addr 5 6)" \
	--targets "$(list target_control 11 12)" --path /valuation/work \
	--method POST --schedule 2s@20 --ms 10
check_load "the others" --entry "$(list entry_addr 1 2 3 4)" \
	--targets "$(list target_control 7 8 9 10)" --path /valuation/work \
	--method POST --schedule 2s@20 --ms 10

# Guards against a request that is run twice or reported as not run. Keys of
# zone c still work there; elsewhere the outcome of its key that ran before the
# partition must be unknown.
expect "own key in the partitioned zone" "200 ran" "$(post 5 "$key_c2")"
expect "own key on the other side" "200 ran" "$(post 2 "$key_a")"
expect "key of the partitioned zone, elsewhere" "503 unknown" "$(post 1 "$key_c")"

# Guards against a change accepted by the partitioned voter. The majority
# accepts an operator's change and its side uses it; zone c keeps its version.
ctl --timeout 3 drain hw02 --yes >"$tmp/drain" 2>&1
wait_for 10 has_version 1 2 || failed=1
before=$(curl -s "http://$(admin_addr 5)/status" | sed -n 's/^version=//p')
ctl --timeout 2 --servers "$(voter_addr 3)" drain hw43 --yes \
	>"$tmp/drain3" 2>&1 && {
	echo "a partitioned voter accepted a change"
	cat "$tmp/drain3"
	failed=1
}
expect "version in the partitioned zone" "$before" \
	"$(curl -s "http://$(admin_addr 5)/status" | sed -n 's/^version=//p')"

# After the partition heals the zone must catch up, and the outcome of its key
# must be known everywhere.
mode pass 1 2 3 5 6
now=$(curl -s "http://$(admin_addr 1)/status" | sed -n 's/^version=//p')
wait_for 15 has_version 5 "$now" || failed=1
wait_for 15 has_version 6 "$now" || failed=1
key_ran() {
	[ "$(post 1 "$key_c")" = "200 ran" ]
}
wait_for 10 key_ran || failed=1

# Guards against callers that wait on dead connections. The relay between an
# entry VM and a target forgets all open connections: bytes on them are dropped,
# new connections work.
start_relay 4 "127.0.0.1:$((PORT + 200 + 2 * 20))"
start relayed "$BIN/endive-target" --name relayed --service delivery \
	--zone nw-a --vm hw12 --listen "127.0.0.1:$((PORT + 200 + 2 * 20))" \
	--advertise "$(relay_addr 4)" --control "$(target_control 20)" \
	--announce "$(list admin_addr 1 2)"
relayed_serves() {
	curl -s "http://$(admin_addr 1)/status" |
		grep -q 'target=relayed state=serving'
}
wait_for 10 relayed_serves || failed=1
check_load "before connections are forgotten" --entry "$(entry_addr 1)" \
	--targets "$(target_control 20)" --path /delivery/work \
	--method POST --schedule 500ms@40 --ms 2
mode forget 4
sleep 1
check_load "after connections are forgotten" --entry "$(entry_addr 1)" \
	--targets "$(target_control 20)" --path /delivery/work \
	--method POST --schedule 500ms@40 --ms 2 --timeout-ms 2000
exit $failed
