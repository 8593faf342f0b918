#!/bin/sh
# Guards against a fleet that stands still while half of its control daemons
# can't be reached: six of them, of which five must vote. The half with the
# learner is paused, is missed for long enough to lose its votes, and comes
# back; then the leader is killed, and the learner must take its place.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${VOTERS_PORT:-21900}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

all="1 2 3 6 7 8"

# NO METRIC: as jobs_metric, and nothing from a daemon that doesn't answer.
metric() {
	curl -s --max-time 2 "http://127.0.0.$1:$metrics/metrics" |
		awk -v name="$2" '$1 == name { print $2 }'
}

# SECONDS COMMAND...: waits until the command is true.
wait_until() {
	left=$(($1 * 10))
	shift
	while ! "$@"; do
		left=$((left - 1))
		[ $left -gt 0 ] || return 1
		sleep 0.1
	done
}

# Prints the number of the control daemon that leads by its metrics; a paused
# one can't be asked.
leading() {
	for n in $all; do
		[ -f "$tmp/c$n.pid" ] && [ ! -f "$tmp/paused$n" ] || continue
		[ "$(metric "$n" endive_leading)" = 1 ] || continue
		echo "$n"
		return
	done
	return 1
}

# VOTERS LEARNERS: whether the leader counts so many.
members_are() {
	l=$(leading) || return 1
	[ "$(metric "$l" endive_voters)" = "$1" ] &&
		[ "$(metric "$l" endive_learners)" = "$2" ]
}

# VOTE: prints the control daemons that don't lead and vote (1), or don't (0).
with_vote() {
	l=$(leading)
	for n in $all; do
		[ -f "$tmp/c$n.pid" ] && [ "$n" != "$l" ] || continue
		[ "$(metric "$n" endive_voter)" = "$1" ] && echo "$n"
	done
}

# VERSION: whether a configuration is accepted by who leads now.
accepts() {
	l=$(leading) || return 1
	"$BIN/endive-job" --to "127.0.0.$l:$control" --apply "$1" --pools p \
		--host 127.0.0.4 >"$tmp/apply" 2>&1
}

for n in 1 2 3; do jobs_control $n true; done
wait_until 10 leading >"$tmp/out" || fail "no leader of three"
for n in 6 7 8; do jobs_control $n false; done
jobs_entry 4
wait_until 40 members_are 5 1 || fail "not five voters of six"

# The paused half holds the learner and two voters; three of five are left.
lost="$(with_vote 0) $(with_vote 1 | head -2)"
for n in $lost; do
	kill -STOP "$(jobs_pid "c$n")"
	touch "$tmp/paused$n"
done
wait_until 30 accepts 1 || fail "nothing accepted by three of five voters"
wait_until 40 members_are 3 0 || fail "the lost voters still count"
wait_until 30 accepts 2 || fail "nothing accepted by three of three voters"

# They come back, and vote again.
for n in $lost; do
	rm "$tmp/paused$n"
	kill -CONT "$(jobs_pid "c$n")"
done
wait_until 40 members_are 5 1 || fail "not five voters after the pause"

# The leader goes for good, and the learner takes its place.
learner=$(with_vote 0)
killed=$(leading)
kill -9 "$(jobs_pid "c$killed")"
rm "$tmp/c$killed.pid"
wait_until 40 members_are 5 0 || fail "the learner took no place"
[ "$(metric "$learner" endive_voter)" = 1 ] ||
	fail "c$learner doesn't vote"
wait_until 30 accepts 3 || fail "nothing accepted after the leader's death"
grep -q "msg=voter-member does=voter addr=127.0.0.$learner:.*why=" \
	"$tmp"/c*.log || fail "no log line on the new voter"

# Guards against a client that is held while nobody leads, or isn't told when to
# come back. All but one are paused.
one=$(leading) || fail "no leader at the end"
for n in $all; do
	[ "$n" != "$one" ] && [ -f "$tmp/c$n.pid" ] || continue
	kill -STOP "$(jobs_pid "c$n")"
done
leaderless() {
	ms=$(metric "$one" endive_leaderless_ms)
	[ "${ms:-0}" -gt 0 ]
}
wait_until 10 leaderless || fail "one of five leads"
curl -s -o "$tmp/body" -D "$tmp/head" --max-time 5 \
	"http://127.0.0.$one:$control/v1/config"
grep -q '^HTTP/1.1 503' "$tmp/head" || fail "not 503 without a leader"
grep -qi '^Retry-After: 1' "$tmp/head" || fail "no Retry-After without a leader"
