#!/bin/sh
# A wave of upkeep is said to be completed, and its machine hasn't begun its
# upkeep: the machine is new, and the platform can't be reached for five seconds
# right after the wave was asked for. The newest list of machines that the system
# has is from just before the machine was added.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common-3.sh"

cloud=127.0.0.6:$ready
vms=$cloud
AWAY_MS=5000
start platform "$BIN/review-platform" 127.0.0.6 "$ready"
for n in 1 2 3; do start_control $n true; done
for n in 4 5; do start_entry $n; done
for n in 11 12 13 14; do start_worker $n i-$n-1 --task-ms 300; done
"$BIN/review-many_routes" 1 0 127.0.0.4 >"$tmp/config1"
apply_first "$tmp/config1"
note "configuration 1 is acknowledged"
sleep 3
lead=$(leader) || exit 2

case $(call GET "$cloud" /test/add 1000) in 200*) ;; *) exit 2 ;; esac
try=0
until grep -q ' added m-new' "$tmp/platform.log"; do
	sleep 0.01
	try=$((try + 1))
	[ $try -lt 500 ] || { note "the platform was not asked for its list"; exit 2; }
done
note "machine m-new is added, after the platform has answered with its list"
start_worker 15 i-15-1 --task-ms 300

# {"wave":1,"machines":["m-new"],"complete-by-s":60,"maximum":1}
printf '\204\244wave\001\250machines\221\245m-new\255complete-by-s\074\247maximum\001' \
	>"$tmp/wave"
code=$(call POST "127.0.0.$lead:$control" /v1/wave-start 3000 \
	"127.0.0.$lead" "$tmp/wave" | cut -c1-3)
note "a wave of upkeep for m-new is asked for: $code"
[ "$code" = 200 ] || exit 2
if [ "$TROUBLE" != 0 ]; then
	call GET "$cloud" "/test/away?$AWAY_MS" 1000 >"$tmp/answer"
	note "the platform answers nothing for $AWAY_MS ms"
fi

# What the platform does to the minion of m-new: upkeep ends it at once, and
# another lifetime joins once it is over.
follow_upkeep() {
	if [ -e "$tmp/w15.pid" ] &&
	   grep -q ' upkeep-begins m-new' "$tmp/platform.log"; then
		kill_hard w15
	fi
	if [ ! -e "$tmp/w15.pid" ] &&
	   grep -q ' upkeep-over m-new' "$tmp/platform.log"; then
		start_worker 15 i-15-2 --task-ms 300
	fi
}

broken=0
state=
until=$(($(date +%s) + 40))
while [ "$(date +%s)" -lt $until ] && [ "$state" != completed ]; do
	state=$(call GET "127.0.0.$lead:$control" /v1/wave-get/1 1000 |
		grep -aoE 'running|completed')
	if [ "$state" = completed ] &&
	   ! grep -q ' upkeep-begins m-new' "$tmp/platform.log"; then
		broken=1
	fi
	follow_upkeep
	sleep 0.05
done
note "GET /v1/wave-get/1: $state"
# whether the upkeep comes later
[ $broken = 0 ] || sleep 10
if [ $broken = 1 ]; then
	note "upkeep of m-new 10 s later: $(grep -c ' upkeep-begins m-new' "$tmp/platform.log") begun"
fi
{
	echo "what the platform saw (ms since its start; each list with its last machine):"
	cat "$tmp/platform.log"
	echo "what the control daemons logged of it:"
	grep -ahE 'msg=[a-z-]*(wave|upkeep)[a-z-]* ' "$tmp"/c*.log |
		sed 's/^time=[^ ]* //'
} >>"$record"
if [ $broken = 1 ]; then
	note "BROKEN: the wave is said to be completed, and m-new, which is" \
		"there, hasn't begun its upkeep"
	exit 1
fi
[ "$state" = completed ] || { note "the wave was not completed in time"; exit 2; }
note "held: the upkeep had begun before the wave was said to be completed"
exit 0
