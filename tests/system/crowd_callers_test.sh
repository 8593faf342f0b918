#!/bin/sh
# Guards against callers that end an entry daemon for want of memory: requests
# that stop short of their end, and requests sent ahead with answers unread.
set -u
JOBS_PORT=${CROWD_PORT:-23000}
. "$(dirname "$0")/crowd_entry.sh"

# A job is taken in and done, each time another.
job=100
crowd_also() {
	job=$((job + 1))
	"$BIN/endive-job" --to "$entries" --jobs 1 --first "$job" \
		--seconds 20 >"$tmp/job" 2>&1
}

# NAME CROWD...: plays a crowd at the callers' address.
at_callers() {
	entry_crowd "callers, $1" "http://$entries/p/" "$entries" /p/ "$@"
}

at_callers one-byte-chunks 60 60000
at_callers extended-chunks 60 400000
at_callers large-chunks 100 1000000
at_callers length 100 1000000
at_callers slow-length 40 12000
at_callers slow-chunks 40 12000
at_callers head 200 24000
at_callers slow-head 60 20000
at_callers trailers 60 200000
at_callers ahead 60 1000000
at_callers burst 60 1000000
at_callers bare 60 1000000
at_callers old 60 1000000
at_callers whole 60 1000000

# Whole requests wait while no control daemon answers.
crowd_stop e4
jobs_entry 4
crowd_await crowd_ordinary "http://$entries/p/"
for n in 1 2 3; do kill -STOP "$(jobs_pid c$n)"; done
"$CROWD" "$entries" /p/ whole 150 1000000 >"$tmp/crowd.log" &
echo $! >"$tmp/crowd.pid"
crowd_await crowd_is_settled
for n in 1 2 3; do kill -CONT "$(jobs_pid c$n)"; done
crowd_check "callers, whole without a leader" e4 "http://$entries/p/" \
	"$entries $entry_ready $entry_metrics"
crowd_end
crowd_verdict
done_once
echo "callers: within memory and descriptors, ordinary requests answered"
