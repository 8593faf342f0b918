#!/bin/sh
# A configuration removes a route while the last allowed run of a work unit is
# at work, and the next one brings the route back.
set -u
here=$(cd "$(dirname "$0")" && pwd)
attempts=3
. "$here/../common.sh"

id=5c0e7a21d94b36f8
job=/$service/$id
deployment --count 9
case $(consumer job "$job" "ms=1500 fail=1" count=1 cpu=500 mem-mb=256 \
	estimate-ms=1500) in
200*) ;;
*) cannot "the job was not accepted" ;;
esac
await " start $id.0.0.0 run=$attempts" 30 ||
	cannot "the last run allowed did not begin"
if [ "$TROUBLE" != 0 ]; then
	configure 2 "" $attempts
	await " failed $id.0.0.0 run=$attempts" 10 ||
		cannot "the last run allowed did not end"
	sleep 1
	configure 3 "$service" $attempts
else
	await " failed $id.0.0.0 run=$attempts" 10 ||
		cannot "the last run allowed did not end"
fi
await " noted $id.0.0.0 run=$attempts failed" 10 ||
	cannot "the end of the last run allowed was not taken note of"
sleep 6
state=$(consumer get "$job")
starts=$(seen " start $id.0.0.0 ")
fails=$(seen " failed $id.0.0.0 ")
note "starts: $starts, ends 'failed': $fails, attempts: $attempts, shown as: $state"
if await " start $id.0.0.0 run=$((attempts + 1))" 1; then
	broken "a run began after $attempts runs of the work unit had ended 'failed'; the job is shown as: $state"
fi
held "no run began after the last run allowed"
