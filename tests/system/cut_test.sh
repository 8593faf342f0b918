#!/bin/sh
# A zone is cut off by relays that stop passing bytes without closing anything,
# and a target's connections are forgotten by something in between. What
# callers, operators and the zone itself see.
set -u
cd "$(dirname "$0")/../.." || exit 2
BIN=build/san/bin
PORT=${CUT_PORT:-21700}
. tests/system/fleet.sh
trap fleet_end EXIT
bad=0

# Relay K of 1..6: to voters 1 and 2 as zone nw-c sees them, to voter 3 and
# entry daemons 5 and 6 as the others see them, to a target.
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
			"http://$(relay_control "$k")/mode" || bad=1
	done
}

start_cut_voter() {
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

start_cut_entry() {
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

# works_by ENTRY VERSION: its view is this one or newer.
works_by() {
	v=$(curl -s "http://$(admin_addr "$1")/status" |
		sed -n 's/^version=//p')
	[ "${v:-0}" -ge "$2" ]
}

# post ENTRY KEY: "STATUS OUTCOME" of a keyed valuation.
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
	bad=1
}

# whole NAME ARGS...: every request of a load must be answered whole.
whole() {
	name=$1
	shift
	"$BIN/endive-load" --check --tsv "$tmp/tsv" "$@" >"$tmp/table" 2>&1
	left=$(awk -F '\t' 'NR == 1 { for (i = 1; i <= NF; i++) c[$i] = i }
		{ v = $c["due"] - $c["whole"] } END { print v }' "$tmp/tsv")
	[ "$left" = 0 ] && return
	echo "$name: $left not whole"
	cat "$tmp/table"
	bad=1
}

make_keys
start_relay 1 "$(voter_addr 1)"
start_relay 2 "$(voter_addr 2)"
start_relay 3 "$(voter_addr 3)"
start_relay 5 "$(wire_addr 5)"
start_relay 6 "$(wire_addr 6)"
for j in 1 2 3; do start_cut_voter $j; done
for i in 1 2 3 4 5 6; do start_cut_entry $i; done
start_targets
wait_for 15 ctl --timeout 2 voters
fleet_apply >"$tmp/apply" 2>&1 || { cat "$tmp/apply"; exit 1; }
fleet_ready || exit 1
for i in 1 2 3 4 5 6; do wait_for 10 keepers $i 2 || exit 1; done
key_a=$(curl -s "http://$(entry_addr 1)/endive/key")
key_c=$(curl -s "http://$(entry_addr 5)/endive/key")
key_c2=$(curl -s "http://$(entry_addr 5)/endive/key")
expect "key of zone c, sent in zone a" "200 ran" "$(post 1 "$key_c")"

# Zone nw-c is cut off: bytes vanish, nothing is closed. Its callers are served
# by its own targets, the others by theirs; nobody waits for the other side.
mode silent 1 2 3 5 6
sleep 2
whole "zone c, cut off" --entry "$(list entry_addr 5 6)" \
	--targets "$(list target_control 11 12)" --path /valuation/work \
	--method POST --schedule 2s@20 --ms 10
whole "the others" --entry "$(list entry_addr 1 2 3 4)" \
	--targets "$(list target_control 7 8 9 10)" --path /valuation/work \
	--method POST --schedule 2s@20 --ms 10

# Keys: zone c's own work goes on there. Its key that ran before the cut is
# unknown elsewhere: not run again, not denied.
expect "own key in the zone cut off" "200 ran" "$(post 5 "$key_c2")"
expect "own key on the other side" "200 ran" "$(post 2 "$key_a")"
expect "key of the zone cut off, elsewhere" "503 unknown" "$(post 1 "$key_c")"

# An operator's change is accepted by the majority and in force on its side;
# zone c gets nothing it can't hear and goes on with its version.
ctl --timeout 3 drain hw02 --yes >"$tmp/drain" 2>&1
wait_for 10 works_by 1 2 || bad=1
before=$(curl -s "http://$(admin_addr 5)/status" | sed -n 's/^version=//p')
ctl --timeout 2 --servers "$(voter_addr 3)" drain hw43 --yes \
	>"$tmp/drain3" 2>&1 && {
	echo "a voter cut off accepted a change"
	cat "$tmp/drain3"
	bad=1
}
expect "version in the zone cut off" "$before" \
	"$(curl -s "http://$(admin_addr 5)/status" | sed -n 's/^version=//p')"

# Healed: the zone catches up, and its key is known again everywhere.
mode pass 1 2 3 5 6
now=$(curl -s "http://$(admin_addr 1)/status" | sed -n 's/^version=//p')
wait_for 15 works_by 5 "$now" || bad=1
wait_for 15 works_by 6 "$now" || bad=1
key_ran() {
	[ "$(post 1 "$key_c")" = "200 ran" ]
}
wait_for 10 key_ran || bad=1

# Between an entry VM and a target something forgets all open connections:
# bytes over them vanish, new ones work. No caller waits for the forgotten.
start_relay 4 "127.0.0.1:$((PORT + 200 + 2 * 20))"
start relayed "$BIN/endive-target" --name relayed --service delivery \
	--zone nw-a --vm hw12 --listen "127.0.0.1:$((PORT + 200 + 2 * 20))" \
	--advertise "$(relay_addr 4)" --control "$(target_control 20)" \
	--announce "$(list admin_addr 1 2)"
relayed_serves() {
	curl -s "http://$(admin_addr 1)/status" |
		grep -q 'target=relayed state=serving'
}
wait_for 10 relayed_serves || bad=1
whole "before forgetting" --entry "$(entry_addr 1)" \
	--targets "$(target_control 20)" --path /delivery/work \
	--method POST --schedule 500ms@40 --ms 2
mode forget 4
sleep 1
whole "after forgetting" --entry "$(entry_addr 1)" \
	--targets "$(target_control 20)" --path /delivery/work \
	--method POST --schedule 500ms@40 --ms 2 --timeout-ms 2000
exit $bad
