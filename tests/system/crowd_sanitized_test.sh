#!/bin/sh
# Guards against errors of memory and leaks in an entry daemon and a leading
# control daemon while clients don't behave at all of their addresses, and in
# their planned stop with these clients connected.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${CROWD_PORT:-23000}
. "$(dirname "$0")/crowd_entry.sh"

# NAME URL ADDRESS=PATH...: plays a crowd of all shapes at these addresses, and
# stops the daemon beside it.
stopped_beside_crowd() {
	crowd="$1, all shapes"
	daemon=$1
	url=$2
	shift 2
	for at in "$@"; do
		shift
		for shape in one-byte-chunks extended-chunks large-chunks length \
			whole slow-length head slow-head trailers ahead burst \
			bare old half-hello large-frame; do
			set -- "$@" "${at%=*}" "${at#*=}" $shape 4 100000
		done
	done
	crowd_await crowd_ordinary "$url"
	"$CROWD" "$@" >"$tmp/crowd.log" 2>&1 &
	echo $! >"$tmp/crowd.pid"
	crowd_await crowd_is_settled
	crowd_ordinary "$url" || crowd_bad "no ordinary answer beside it"
	pid=$(jobs_pid "$daemon")
	kill -TERM "$pid"
	wait "$pid" || crowd_bad "$daemon has ended with $?"
	rm -f "$tmp/$daemon.pid"
	crowd_end
	grep -q 'Sanitizer\|runtime error' "$tmp/$daemon.log" &&
		crowd_bad "a report in the log of $daemon"
}

stopped_beside_crowd e4 "http://$entry_metrics/metrics" "$entries=/p/" \
	"$entry_ready=/ready" "$entry_metrics=/metrics"
leader=$(jobs_leader) || fail "no leader"
at=127.0.0.$leader
stopped_beside_crowd "c$leader" "http://$at:$metrics/metrics" \
	"$at:$control=/v1/config" "$at:$metrics=/metrics" "$at:$wire=-"
crowd_verdict
echo "sanitized: no report, planned stops beside the crowd"
