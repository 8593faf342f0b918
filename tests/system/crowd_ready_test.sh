#!/bin/sh
# Guards against clients of the readiness and metrics addresses that end an
# entry daemon for want of memory, by themselves and beside callers that do.
set -u
JOBS_PORT=${CROWD_PORT:-23000}
. "$(dirname "$0")/crowd_entry.sh"

# SHAPE CONNECTIONS BYTES: plays a crowd at the readiness address.
at_ready() {
	entry_crowd "readiness, $1" "http://$entry_ready/ready" \
		"$entry_ready" /ready "$@"
}

# SHAPE CONNECTIONS BYTES: plays a crowd at the metrics address.
at_metrics() {
	entry_crowd "metrics, $1" "http://$entry_metrics/metrics" \
		"$entry_metrics" /metrics "$@"
}

for at in at_ready at_metrics; do
	$at one-byte-chunks 12 100000
	$at large-chunks 15 1000000
	$at length 15 1000000
	$at slow-head 15 12000
	$at trailers 15 200000
	$at ahead 15 8000000
	$at burst 15 8000000
	$at bare 15 1000000
	$at old 15 8000000
done
entry_crowd "all addresses" "http://$entries/p/" \
	"$entries" /p/ one-byte-chunks 40 60000 \
	"$entries" /p/ large-chunks 60 1000000 \
	"$entries" /p/ slow-head 40 12000 \
	"$entries" /p/ old 40 1000000 \
	"$entry_ready" /ready ahead 8 8000000 \
	"$entry_ready" /ready one-byte-chunks 7 100000 \
	"$entry_metrics" /metrics ahead 8 8000000 \
	"$entry_metrics" /metrics length 7 1000000
crowd_verdict
echo "readiness, metrics: within memory and descriptors, ordinary requests answered"
