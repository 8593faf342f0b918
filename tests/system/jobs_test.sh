#!/bin/sh
# Runs jobs through real processes: each job must be accepted, each task done
# once and the job reported as completed, while orders get no answer, a leader
# is killed and a worker process is paused.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${JOBS_PORT:-21700}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

jobs_fleet --late-percent 5 --fail-percent 3 || fail "configuration"
"$BIN/endive-job" --to "$entries" --jobs 10 || fail "jobs not completed without faults"
done_once

# Each histogram in /metrics must have counted something.
leader=$(jobs_leader) || fail "no leader"
for name in call job job_first_start job_late run commit read order \
	lease_margin sync leaderless; do
	n=$(jobs_metric "$leader" "endive_${name}_seconds_count")
	[ "${n:-0}" -gt 0 ] || fail "endive_${name}_seconds: ${n:-none}"
done
# /metrics must show why tasks are pending, from a scan at most a second ago.
for name in endive_held_longest_seconds 'endive_held_tasks{why="no-room"}'; do
	[ -n "$(jobs_metric "$leader" "$name")" ] || fail "$name"
done
n=$(jobs_metric 4 endive_entry_answer_seconds_count)
[ "${n:-0}" -ge 10 ] || fail "endive_entry_answer_seconds: ${n:-none}"

# Guards against a leader that receives all reports of workers itself.
others=0
for n in 1 2 3; do
	[ "$n" = "$leader" ] && continue
	reports=$(jobs_metric "$n" endive_worker_reports_total)
	others=$((others + ${reports:-0}))
done
[ "$others" -gt 0 ] || fail "no other replica received a worker's report"

# A leader is killed while jobs run; the jobs must continue under the next
# leader.
"$BIN/endive-job" --to "$entries" --jobs 20 --first 1000 --seconds 60 \
	>"$tmp/out" 2>&1 &
load=$!
sleep 1
leader=$(jobs_leader) || fail "no leader"
kill -9 "$(jobs_pid "c$leader")"
rm -f "$tmp/c$leader.pid"
wait $load || { cat "$tmp/out"; fail "jobs not completed after the leader was killed"; }
done_once

# The killed leader restarts with its data folder and follows. A worker process
# is paused for longer than its lease; its tasks must be done elsewhere, once.
jobs_control "$leader" false
"$BIN/endive-job" --to "$entries" --jobs 15 --first 2000 --seconds 60 \
	>"$tmp/out" 2>&1 &
load=$!
sleep 0.5
kill -STOP "$(jobs_pid w2)"
sleep 7
kill -CONT "$(jobs_pid w2)"
wait $load || { cat "$tmp/out"; fail "jobs not completed with a paused worker"; }
done_once

# A planned stop of the entry daemon must end within its grace period.
kill -TERM "$(jobs_pid e4)"
tries=0
while kill -0 "$(jobs_pid e4)" 2>/dev/null; do
	tries=$((tries + 1))
	[ $tries -lt 100 ] || fail "entry daemon does not stop"
	sleep 0.1
done
echo "jobs: all completed, none doubled"
