#!/bin/sh
# Guards against clients that end endive-entryd or endive-controld for want of
# memory, at each address of theirs.
set -u
BIN=${BIN:-build/bin}
PORT=${CROWD_PORT:-23000}
. "$(dirname "$0")/fleet.sh"
. "$(dirname "$0")/crowd.sh"
ENTRYD_FLAGS=${ENTRYD_FLAGS-"--memory-mb $CROWD_MEMORY_MB"}
CONTROLD_FLAGS=${CONTROLD_FLAGS-"--memory-mb $CROWD_MEMORY_MB"}
LIMITS="--descriptors $((CROWD_FILES - CROWD_FILES_KEPT))"
trap 'crowd_end; fleet_end' EXIT
trap 'exit 1' HUP INT PIPE TERM

# MESSAGE: fails the test and prints the last lines of all logs.
fail() {
	echo "FAIL: $*"
	tail -n 5 "$tmp"/*.log
	exit 1
}

work=http://$(entry_addr 1)/check/work

# NAME ADDRESS URL PATH SHAPE CONNECTIONS BYTES: plays a crowd against a new
# entry daemon.
at_entry() {
	crowd_stop entry1
	start_entry 1 "$LIMITS $ENTRYD_FLAGS"
	crowd_play "$1, $5" entry1 "$3" \
		"$(entry_addr 1) $(admin_addr 1) $(wire_addr 1)" "$2" "$4" \
		"$5" "$6" "$7"
}

# NAME ADDRESS PATH SHAPE CONNECTIONS BYTES: plays a crowd against a new voter.
at_voter() {
	http=127.0.0.1:$((PORT + 111))
	crowd_stop voter1
	start_voter 1 "$LIMITS $CONTROLD_FLAGS"
	crowd_play "$1, $4" voter1 "http://$http/health" \
		"$http $(voter_addr 1)" "$2" "$3" "$4" "$5" "$6"
}

make_keys
for j in 1 2 3; do start_voter $j --initial; done
for i in 1 2; do start_entry $i; done
start_target check-1 check 1 hw01 1
start_target check-2 check 1 hw02 2
wait_for 15 ctl --timeout 2 voters || fail "no voters"
fleet_apply || fail "configuration"

for shape in "one-byte-chunks 60 60000" "extended-chunks 60 400000" \
	"large-chunks 40 2000000" "length 40 2000000" "head 80 24000" \
	"slow-head 60 20000" "trailers 60 200000" "ahead 60 1000000" \
	"burst 60 1000000" "old 60 1000000"; do
	# shellcheck disable=SC2086
	at_entry callers "$(entry_addr 1)" "$work" /check/work $shape
done
for shape in "one-byte-chunks 40 60000" "slow-head 40 12000" \
	"ahead 40 4000000" "old 40 4000000"; do
	# shellcheck disable=SC2086
	at_entry admin "$(admin_addr 1)" "http://$(admin_addr 1)/metrics" \
		/metrics $shape
done
at_entry wire "$(wire_addr 1)" "$work" - half-hello 40 200
at_entry wire "$(wire_addr 1)" "$work" - large-frame 40 200000
for shape in "one-byte-chunks 40 60000" "slow-head 40 12000" \
	"ahead 40 4000000" "old 40 4000000"; do
	# shellcheck disable=SC2086
	at_voter http "127.0.0.1:$((PORT + 111))" /metrics $shape
done
at_voter wire "$(voter_addr 1)" - half-hello 40 200
at_voter wire "$(voter_addr 1)" - large-frame 40 200000
crowd_verdict
echo "entryd, controld: within memory and descriptors, ordinary requests answered"
