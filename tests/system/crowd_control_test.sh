#!/bin/sh
# Guards against clients of a control daemon's addresses that end the process
# that leads for want of memory.
set -u
BIN=${BIN:-build/bin}
JOBS_PORT=${CROWD_PORT:-23000}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"
. "$(dirname "$0")/crowd.sh"
jobs_control_bounds="memory-mb = $CROWD_MEMORY_MB
descriptors = $CROWD_FILES
descriptors-kept = $CROWD_FILES_KEPT"

# NAME PORT PATH SHAPE CONNECTIONS BYTES: plays a crowd against the leader, anew.
at_leader() {
	at=$2
	crowd_await jobs_leader
	old=$(jobs_leader)
	crowd_stop "c$old"
	jobs_control "$old" false
	crowd_await jobs_leader
	no=$(jobs_leader)
	url=http://127.0.0.$no:$control/v1/config
	[ "$at" = "$metrics" ] && url=http://127.0.0.$no:$at/metrics
	addresses="127.0.0.$no:$control 127.0.0.$no:$metrics 127.0.0.$no:$wire"
	crowd_play "$1, $4" "c$no" "$url" "$addresses" \
		"127.0.0.$no:$at" "$3" "$4" "$5" "$6"
}

# Whole requests of many callers reach the leader through entry daemons with
# memory enough, while its followers are paused and nothing can be decided.
relayed() {
	crowd_await jobs_leader
	no=$(jobs_leader)
	for n in 5 6 7; do
		jobs_entry $n
		crowd_await crowd_ordinary "http://127.0.0.$n:$((callers + 1))/"
	done
	for n in 1 2 3; do
		[ "$n" = "$no" ] || kill -STOP "$(jobs_pid "c$n")"
	done
	"$CROWD" "127.0.0.4:$callers" /p/ whole 60 1000000 \
		"127.0.0.5:$callers" /p/ whole 60 1000000 \
		"127.0.0.6:$callers" /p/ whole 60 1000000 \
		"127.0.0.7:$callers" /p/ whole 60 1000000 >"$tmp/crowd.log" &
	echo $! >"$tmp/crowd.pid"
	crowd_await crowd_is_settled
	for n in 1 2 3; do
		[ "$n" = "$no" ] || kill -CONT "$(jobs_pid "c$n")"
	done
	crowd_check "relayed, whole" "c$no" "http://$entries/p/" \
		"127.0.0.$no:$control 127.0.0.$no:$wire"
	crowd_end
}

jobs_fleet || fail "configuration"
relayed
at_leader control "$control" /v1/ one-byte-chunks 30 60000
at_leader control "$control" /v1/ extended-chunks 30 400000
at_leader control "$control" /v1/ large-chunks 30 1000000
at_leader control "$control" /v1/ length 30 1000000
at_leader control "$control" /v1/ slow-head 30 12000
at_leader control "$control" /v1/ trailers 30 200000
at_leader control "$control" /v1/config ahead 30 1000000
at_leader control "$control" /v1/config old 30 1000000
at_leader metrics "$metrics" /metrics one-byte-chunks 12 100000
at_leader metrics "$metrics" /metrics ahead 12 8000000
at_leader metrics "$metrics" /metrics old 12 8000000
at_leader wire "$wire" - half-hello 40 200
at_leader wire "$wire" - large-frame 40 200000
at_leader wire "$wire" - peer-frame 40 4000000
crowd_verdict
"$BIN/endive-job" --to "$entries" --jobs 3 || fail "jobs after the crowds"
done_once
echo "control: within memory and descriptors, ordinary requests answered"
