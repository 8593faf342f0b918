#!/bin/sh
# Guards against control daemons that exhaust their descriptors by connections:
# 100 workers, a limit of 250 open files, and a leader killed under load.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${DESCRIPTORS_PORT:-21950}
WORKERS=100
FILES=250
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

# control_under_limit NO BOOTSTRAP: starts a control daemon under the limit.
control_under_limit() {
	files=$(ulimit -S -n)
	ulimit -S -n $FILES
	jobs_control "$1" "$2"
	ulimit -S -n "$files"
}

for n in 1 2 3; do control_under_limit $n true; done
jobs_entry 4
n=0
while [ $n -lt $WORKERS ]; do
	jobs_worker $n --task-ms 200
	n=$((n + 1))
done
"$BIN/endive-job" --to "$seeds" --apply 1 --pools p --host 127.0.0.4 ||
	fail "configuration"
"$BIN/endive-job" --to "$entries" --jobs 60 --tasks 40 --seconds 60 \
	>"$tmp/out" 2>&1 || { cat "$tmp/out"; fail "no faults"; }
done_once

leader=$(jobs_leader) || fail "no leader"
for part in peers callers targets; do
	share=$(jobs_metric "$leader" "endive_descriptors_share{part=\"$part\"}")
	used=$(jobs_metric "$leader" "endive_descriptors_used{part=\"$part\"}")
	[ "${used:-1000}" -le "${share:-0}" ] ||
		fail "$part: ${used:-none} of ${share:-none}"
done
waited=$(jobs_metric "$leader" \
	'endive_descriptors_refused_total{part="targets"}')
[ "${waited:-0}" -gt 0 ] || fail "no call had to wait"

# The next leader has to contact every worker at once.
"$BIN/endive-job" --to "$entries" --jobs 120 --tasks 40 --first 1000 \
	--seconds 90 >"$tmp/out" 2>&1 &
load=$!
sleep 1
kill -9 "$(jobs_pid "c$leader")"
rm -f "$tmp/c$leader.pid"
wait $load || { cat "$tmp/out"; fail "leader killed"; }
done_once
for n in 1 2 3; do
	[ "$n" = "$leader" ] || kill -0 "$(jobs_pid "c$n")" 2>/dev/null ||
		fail "c$n has ended"
done
grep -l 'folder-failed\|Too many open files' "$tmp"/c*.log &&
	fail "a control daemon lacked descriptors"
echo "descriptors: all completed, none doubled, no daemon ended"
