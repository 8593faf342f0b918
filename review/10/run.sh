#!/bin/sh
# A wave of upkeep is said to be completed, and its machine hasn't begun its
# upkeep: the machine is new, and the platform can't be reached for five seconds
# right after the wave was asked for. The newest list of machines that the system
# has is from just before the machine was added.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common-3.sh"
[ -x "$BIN/review-platform" ] || { echo "not built: review-platform"; exit 2; }
command -v curl >/dev/null || { echo "no curl"; exit 2; }

cloud=127.0.0.6:$ready
vms=$cloud
AWAY_MS=5000
start platform "$BIN/review-platform" 127.0.0.6 "$ready"
for n in 1 2 3; do start_control $n true; done
for n in 4 5; do start_entry $n; done
for n in 11 12 13 14; do start_worker $n i-$n-1 --task-ms 300; done
"$BIN/endive-job" --to "$controls" --apply 1 --pools p --host 127.0.0.4 \
	--seconds 20 >>"$record" || exit 2
note "configuration 1 is acknowledged"
sleep 3
lead=$(leader) || exit 2

curl -s -o "$tmp/answer" "http://$cloud/test/add" || exit 2
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
code=$(curl -s -o "$tmp/answer" -w '%{http_code}' -m 3 -L --max-redirs 2 \
	-H 'Content-Type: application/msgpack' -X POST \
	--data-binary "@$tmp/wave" "http://127.0.0.$lead:$control/v1/wave-start")
note "a wave of upkeep for m-new is asked for: $code"
[ "$code" = 200 ] || exit 2
if [ "$TROUBLE" != 0 ]; then
	curl -s -o "$tmp/answer" "http://$cloud/test/away?$AWAY_MS" || exit 2
	note "the platform answers nothing for $AWAY_MS ms"
fi

broken=0
state=
try=0
while [ $try -lt 150 ] && [ "$state" != completed ]; do
	state=$(curl -s -m 1 -L --max-redirs 2 \
		"http://127.0.0.$lead:$control/v1/wave-get/1" |
		grep -aoE 'running|completed')
	if [ "$state" = completed ] &&
	   ! grep -q ' upkeep-begins m-new' "$tmp/platform.log"; then
		broken=1
	fi
	sleep 0.1
	try=$((try + 1))
done
note "GET /v1/wave-get/1: $state"
# whether the upkeep comes later
[ $broken = 0 ] || sleep 20
if [ $broken = 1 ]; then
	note "upkeep of m-new 20 s later: $(grep -c ' upkeep-begins m-new' "$tmp/platform.log") begun"
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
