#!/bin/sh
# A job of five work units that last. The minion on which its first unit has
# just begun crashes, three times.
set -u
here=$(cd "$(dirname "$0")" && pwd)
crashes=3
[ "${TROUBLE:-1}" = 0 ] && crashes=0
. "$here/../common.sh"

id=5c0e7a21d94b36f8
job=/$service/$id
deployment --count 9 --crash "$id.0.0.0" --crash-times $crashes \
	--crash-work-ms 50 --crash-down-ms 3000
case $(consumer job "$job" "lasts=1" count=5 cpu=1300 mem-mb=8700 \
	estimate-ms=700 long-running=true anti-affinity=1 may-miss=1) in
200*) ;;
*) cannot "the job was not accepted" ;;
esac

tries=0
while [ $tries -lt 60 ]; do
	state=$(consumer get "$job")
	case $state in
	*failed)
		sleep 2
		fails=$(seen " failed $id")
		stops=$(seen " stopped $id")
		[ "$fails" = 0 ] || cannot "runs ended 'failed': $fails"
		broken "the job is shown as failed; runs that ended 'failed': $fails; work units stopped for it: $stops; nobody has cancelled it"
		;;
	esac
	tries=$((tries + 1))
	sleep 0.5
done
case $state in
*running)
	[ "$TROUBLE" = 0 ] || [ "$(seen " CRASH ")" = 3 ] ||
		cannot "the minions did not crash"
	held "30 s later the job is shown as: $state" ;;
esac
broken "30 s later the job is shown as: $state"
