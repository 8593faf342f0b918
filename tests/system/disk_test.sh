#!/bin/sh
# Guards against control daemons that a full disk ends: each in turn, the leader
# first, finds its disk full while jobs run, and one is started on a full disk.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${DISK_PORT:-22000}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

# NAME LIMIT: sets the largest file that the daemon may write, bytes.
file_limit() {
	prlimit --pid "$(jobs_pid "$1")" --fsize="$2":unlimited ||
		fail "prlimit $1"
}

# NO WANTED: waits until the daemon tells that its disk is full (1) or not (0).
wait_full() {
	tries=0
	while [ "$(jobs_metric "$1" endive_disk_full)" != "$2" ]; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || fail "c$1: disk full is not told as $2"
		sleep 0.1
	done
}

# Prints the number of the daemon that leads by its metrics; waits up to 10 s for
# one, as leadership may pass from one to another between two looks.
leading() {
	tries=0
	while [ $tries -lt 100 ]; do
		for n in 1 2 3; do
			[ "$(jobs_metric $n endive_leading)" = 1 ] &&
				echo $n && return
		done
		tries=$((tries + 1))
		sleep 0.1
	done
}

# FIRST: submits jobs in the background, numbered from FIRST.
start_load() {
	"$BIN/endive-job" --to "$entries" --jobs 25 --first "$1" --seconds 60 \
		>"$tmp/out" 2>&1 &
	load=$!
	sleep 0.5
}

jobs_fleet || fail "configuration"
"$BIN/endive-job" --to "$entries" --jobs 5 || fail "jobs before any fault"
first=1000
for round in 1 2; do
	start_load $first
	full=$(leading)
	[ -n "$full" ] || fail "no leader"
	file_limit "c$full" 0
	wait_full "$full" 1
	wait $load || { cat "$tmp/out"; fail "jobs beside a full disk of c$full"; }
	done_once
	[ "$(leading)" != "$full" ] || fail "c$full leads without a disk"
	kill -0 "$(jobs_pid "c$full")" || fail "c$full ended"
	file_limit "c$full" unlimited
	wait_full "$full" 0
	first=$((first + 1000))
done

# A follower's disk is full: the others go on, and it follows again.
start_load $first
leads=$(leading)
[ -n "$leads" ] || fail "no leader"
for n in 1 2 3; do
	[ "$n" != "$leads" ] && full=$n
done
file_limit "c$full" 0
wait_full "$full" 1
wait $load || { cat "$tmp/out"; fail "jobs beside a full disk of a follower"; }
done_once
kill -0 "$(jobs_pid "c$full")" || fail "follower c$full ended"
file_limit "c$full" unlimited
wait_full "$full" 0
first=$((first + 1000))

# Started on a full disk a daemon waits, and joins once there is space. The word
# to read its settings again doesn't end it meanwhile.
full=$(leading)
kill -9 "$(jobs_pid "c$full")"
rm -f "$tmp/c$full.pid"
start_load $first
(
	ulimit -S -f 0
	exec "$BIN/endive-schedd" --settings "$tmp/c$full.conf" >/dev/null 2>&1
) &
echo $! >"$tmp/c$full.pid"
sleep 2
kill -0 "$(jobs_pid "c$full")" || fail "c$full did not wait for space"
kill -HUP "$(jobs_pid "c$full")"
sleep 0.5
kill -0 "$(jobs_pid "c$full")" || fail "c$full was ended by SIGHUP"
wait $load || { cat "$tmp/out"; fail "jobs beside a start on a full disk"; }
done_once
file_limit "c$full" unlimited
wait_full "$full" 0

# It takes part again: with one of the others lost, the two make a quorum.
for n in 1 2 3; do
	[ "$n" != "$full" ] || continue
	kill -9 "$(jobs_pid "c$n")"
	rm -f "$tmp/c$n.pid"
	break
done
"$BIN/endive-job" --to "$entries" --jobs 5 --first 9000 --seconds 30 ||
	fail "jobs with the daemon whose disk was full"
done_once
echo "disk: full disks were waited out, nothing lost or done twice"
