#!/bin/sh
# Guards against jobs lost or run twice while replicas relay the leader's calls
# to workers: a replica is paused, a replica is killed, the leader is killed.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${CARRY_PORT:-21600}
jobs_carry_from=0
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

# start_load FIRST: submits jobs in the background, numbered from FIRST.
# Returns when some of them have been submitted.
start_load() {
	"$BIN/endive-job" --to "$entries" --jobs 25 --first "$1" --seconds 60 \
		>"$tmp/out" 2>&1 &
	load=$!
	sleep 0.7
}

# wait_load CASE: waits for the load; fails if a job is lost or run twice.
wait_load() {
	wait $load || { cat "$tmp/out"; fail "$1"; }
	done_once
}

# Prints the number of a replica that does not lead.
follower() {
	leader=$(jobs_leader) || fail "no leader"
	for n in 1 2 3; do
		[ "$n" != "$leader" ] && [ -f "$tmp/c$n.pid" ] || continue
		echo "$n"
		return
	done
}

# LEADER: fails unless each start that it ordered itself is in its log, and
# either no relay was ready by its log or that worker had just been silent.
direct_starts_have_a_cause() {
	bad=$(awk -v direct="$direct" '
		/ msg=carriers / { sub(/.* ready=/, ""); ready = $1 + 0 }
		/ msg=worker-silent / { silent[worker($0)] = 1 }
		/ msg=start-direct / {
			n++
			if (/ why=no-relay / && ready == 0) next
			if (/ why=calls-lost / && silent[worker($0)]) next
			print
		}
		function worker(line) {
			sub(/.* worker=/, "", line)
			sub(/ .*/, "", line)
			return line
		}
		END { if (n != direct) print n + 0, "of", direct, "in the log" }
	' "$tmp/c$1.log")
	[ -z "$bad" ] || fail "ordered without a relay: $bad"
}

jobs_fleet --late-percent 5 --fail-percent 3 || fail "configuration"
start_load 1
wait_load "no faults"
leader=$(jobs_leader) || fail "no leader"
relayed=$(jobs_metric "$leader" endive_starts_carried_total)
direct=$(jobs_metric "$leader" endive_starts_direct_total)
unsent=$(jobs_metric "$leader" endive_runs_given_back_total)
starts=$(jobs_metric "$leader" endive_starts_total)
[ "${starts:-0}" -gt 0 ] || fail "no run was ordered"
[ "${relayed:-0}" -gt 0 ] || fail "no run was relayed"
[ "$((relayed + direct + unsent))" -eq "$starts" ] ||
	fail "$relayed runs relayed, $direct direct and $unsent given back, of $starts"
echo "$relayed runs relayed, $direct direct, $unsent given back, of $starts"
direct_starts_have_a_cause "$leader"

start_load 1000
paused=$(follower)
kill -STOP "$(jobs_pid "c$paused")"
sleep 3
kill -CONT "$(jobs_pid "c$paused")"
wait_load "a replica is paused"

start_load 2000
killed=$(follower)
kill -9 "$(jobs_pid "c$killed")"
rm -f "$tmp/c$killed.pid"
wait_load "a replica is killed"
jobs_control "$killed" false

sleep 1
start_load 3000
leader=$(jobs_leader) || fail "no leader"
kill -9 "$(jobs_pid "c$leader")"
rm -f "$tmp/c$leader.pid"
wait_load "the leader is killed"

# Guards against a replica that acknowledges workers' reports without a leader,
# when its state may be out of date.
last=$(follower)
for n in 1 2 3; do
	[ "$n" != "$last" ] && [ -f "$tmp/c$n.pid" ] || continue
	kill -9 "$(jobs_pid "c$n")"
	rm -f "$tmp/c$n.pid"
done
sleep 3
before=$(jobs_metric "$last" endive_worker_reports_total)
sleep 3
after=$(jobs_metric "$last" endive_worker_reports_total)
[ -n "$before" ] && [ "$before" = "$after" ] ||
	fail "reports acknowledged without a leader: ${before:-none}, $after"
echo "carry: all completed, none doubled"
