#!/bin/sh
# One minion crashes while a gang of two is at work, which saves its progress.
set -u
here=$(cd "$(dirname "$0")" && pwd)
crashes=1
[ "${TROUBLE:-1}" = 0 ] && crashes=0
. "$here/../common.sh"

id=5c0e7a21d94b36f8
job=/$service/$id
deployment --count 9 --crash "$id.0.0.1" --crash-times $crashes \
	--crash-work-ms 3000 --crash-down-ms 3000
case $(consumer job "$job" "ms=6000 save=2000 gang=2" count=2 cpu=500 \
	mem-mb=256 estimate-ms=6000 gang=true checkpointing=true \
	anti-affinity=1) in
200*) ;;
*) cannot "the job was not accepted" ;;
esac
tries=0
while [ $tries -lt 90 ]; do
	state=$(consumer get "$job")
	case $state in
	*completed)
		[ "$TROUBLE" = 0 ] || [ "$(seen " CRASH ")" = 1 ] ||
			cannot "no minion crashed"
		held "the job is shown as completed"
		;;
	esac
	tries=$((tries + 1))
	sleep 0.5
done
# only runs that ended later than contact-ms (3 s) after the minion was back
alone=$(awk -v id="$id" '
	$3 == "CRASH" { addr = $4 }
	addr != "" && $3 == "up" && $4 == addr { calm = $1 + 3000 }
	calm && $3 == "alone" && index($4, id) == 1 && $1 > calm { n++ }
	END { print n + 0 }' "$tmp/minions.out")
note "runs that ended 'alone' over 3 s after the minion was back: $alone"
[ "$alone" -gt 0 ] || cannot "the job is shown as: $state, and no run ended 'alone'"
broken "runs that ended 'alone' with no disturbance near: $alone; 45 s after it was accepted the job is shown as: $state"
