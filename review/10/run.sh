#!/bin/sh
# An accepted job is shown as failed although no run of it has failed: three
# workers crash, one after the other, each just after it has begun the same
# work unit. Its queue allows four attempts. Each is back a second later, as a new lifetime at the same address.
# Of nine workers one is down at a time.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common-3.sh"
[ -x "$BIN/review-many-routes" ] || { echo "not built: review-many-routes"; exit 2; }
command -v curl >/dev/null || { echo "no curl"; exit 2; }

for n in 1 2 3; do start_control $n true; done
for n in 4 5; do start_entry $n; done
for n in 11 12 13 14 15 16 17 18 19; do
	start_worker $n i-$n-1 --task-ms 1500
done
"$BIN/review-many-routes" 1 0 127.0.0.4 4 >"$tmp/config1"
try=0
until [ "$(curl -s -o "$tmp/answer" -w '%{http_code}' -m 2 -L --max-redirs 2 \
	-H 'Content-Type: application/msgpack' -X PUT \
	--data-binary "@$tmp/config1" \
	"http://127.0.0.1:$control/v1/config")" = 200 ]; do
	sleep 0.2
	try=$((try + 1))
	[ $try -lt 50 ] || exit 2
done
note "configuration 1 is acknowledged; its queue allows 4 attempts"
sleep 2

start job "$BIN/endive-job" --to "$entries" --jobs 1 --first 1 --tasks 1 \
	--seconds 60
note "job 0000000000000001 is handed in: two steps of one work unit"

# Prints how many starts the workers have shown so far.
begun() {
	grep -a '^start ' "$tmp"/w*.log | grep -c .
}

crashes=0
seen=0
while [ "$TROUBLE" != 0 ] && [ $crashes -lt 3 ]; do
	try=0
	while [ "$(begun)" -le $seen ] && [ $try -lt 1000 ]; do
		sleep 0.01
		try=$((try + 1))
	done
	[ "$(begun)" -gt $seen ] || break
	for n in 11 12 13 14 15 16 17 18 19; do
		last=$(tail -n 1 "$tmp/w$n.log")
		case $last in
		start*)
			kill_hard w$n
			crashes=$((crashes + 1))
			note "worker i-$n-$crashes crashes; its last output: $last"
			echo "crash" >>"$tmp/w$n.log"
			crashed=$n
			;;
		esac
	done
	seen=$(begun)
	sleep 1
	start_worker $crashed i-$crashed-$((crashes + 1)) --task-ms 1500
	note "another lifetime, i-$crashed-$((crashes + 1)), at the same address"
done

wait "$(cat "$tmp/job.pid")"
rc=$?
rm -f "$tmp/job.pid"
note "what its caller was told: $(tr '\n' ' ' <"$tmp/job.log")"
{
	echo "what the workers began and ended:"
	grep -aE '^[a-z-]+ [0-9a-f]{16}' "$tmp"/w*.log | sed "s|$tmp/||"
	echo "what the control daemons logged of it:"
	grep -ahE 'msg=(crashed-under|job-ended) ' "$tmp"/c*.log |
		sed 's/^time=[^ ]* //'
} >>"$record"
failed=$(grep -a '^failed ' "$tmp"/w*.log | grep -c .)
if grep -q 'is failed' "$tmp/job.log" && [ "$failed" = 0 ]; then
	note "BROKEN: the job is shown as failed, and no run of it ended failed"
	exit 1
fi
[ $rc = 0 ] || { note "the job was not completed in time"; exit 2; }
note "held: the job is shown as completed"
exit 0
