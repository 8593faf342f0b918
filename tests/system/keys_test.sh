#!/bin/sh
# Guards against calls obeyed without a valid key, work lost as its key goes,
# and work beyond an organisation's limit, while keys and limits change beside a
# paused leader and a killed one.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${KEYS_PORT:-21900}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"
job=00000000000000ff

# VERSION ORGANISATIONS: applies a configuration with these organisations.
apply() {
	"$BIN/endive-job" --to "$seeds" --apply "$1" --organisations "$2" ||
		fail "configuration $1"
}

# METHOD PATH [HEADER...]: prints the status of a call.
status() {
	method=$1
	path=$2
	shift 2
	for header in "$@"; do
		set -- "$@" -H "$header"
		shift
	done
	curl -s -o "$tmp/body" -w '%{http_code}' -m 5 -X "$method" "$@" \
		"http://$entries$path"
}

# WANTED METHOD PATH [HEADER...]: fails unless the call has that status.
expect() {
	wanted=$1
	shift
	got=$(status "$@")
	[ "$got" = "$wanted" ] || fail "$*: $got instead of $wanted"
}

jobs_fleet || fail "configuration"
apply 2 big:key-of-big:2000,small:key-of-small:0
expect 401 GET /p/
expect 401 GET /p/ "Authorization: Token key-of-nobody"
expect 401 GET /p/ "Authorization: Bearer key-of-big"
expect 401 GET /p/ "Authorization: Token key-of-big" \
	"Authorization: Token key-of-big"
expect 401 POST "/p/$job"
expect 404 GET /nowhere/ "Authorization: Token key-of-nobody"
expect 200 GET /p/ "Authorization: Token key-of-big"

# A burst of each organisation; that of "big" goes beyond its limit, 4 tasks.
"$BIN/endive-job" --to "$entries" --key key-of-big --jobs 12 --tasks 6 \
	--seconds 60 >"$tmp/big" 2>&1 &
load=$!
"$BIN/endive-job" --to "$entries" --key key-of-small --jobs 10 --first 500 \
	--seconds 60 >"$tmp/small" 2>&1 || fail "jobs of small not completed"
expect 403 GET /p/00000000000001f4 "Authorization: Token key-of-big"
expect 403 DELETE /p/00000000000001f4 "Authorization: Token key-of-big"
expect 200 GET /p/00000000000001f4 "Authorization: Token key-of-small"
wait $load || { cat "$tmp/big"; fail "jobs of big not completed"; }
done_once
leader=$(jobs_leader) || fail "no leader"
curl -s "http://127.0.0.$leader:$metrics/metrics" >"$tmp/metrics"
grep -q '^endive_organisation_cores_max{organisation="big"} 2' "$tmp/metrics" ||
	fail "no limit of big in the metrics"
over=$(awk '/^endive_organisation_cores_peak\{organisation="big"\}/ {
	print ($2 > 2) }' "$tmp/metrics")
[ "$over" = 0 ] || fail "big ran above its limit: ${over:-not told}"

# The key of "big" goes while its jobs run and the leader is paused: no later
# call is obeyed, on a new connection or a kept one, and its jobs go on.
"$BIN/endive-job" --to "$entries" --key key-of-big --jobs 20 --tasks 6 \
	--first 2000 --seconds 10 >"$tmp/big" 2>&1 &
load=$!
sleep 0.7
leader=$(jobs_leader) || fail "no leader"
kill -STOP "$(jobs_pid "c$leader")"
sleep 2.5
apply 3 big::2000,small:key-of-small:0
kill -CONT "$(jobs_pid "c$leader")"
for n in 1 2 3 4 5; do
	expect 401 GET /p/ "Authorization: Token key-of-big"
done
wait $load && fail "jobs of big were shown to be over with a removed key"
apply 4 big:new-key-of-big:2000,small:key-of-small:0
"$BIN/endive-job" --to "$entries" --key new-key-of-big --jobs 20 --tasks 6 \
	--first 2000 --seconds 40 >"$tmp/big" 2>&1 ||
	{ cat "$tmp/big"; fail "jobs of big did not go on"; }
done_once

# A killed leader: the next one holds the same keys and the same account.
leader=$(jobs_leader) || fail "no leader"
kill -9 "$(jobs_pid "c$leader")"
rm -f "$tmp/c$leader.pid"
sleep 3
expect 401 GET /p/ "Authorization: Token key-of-big"
expect 200 GET /p/ "Authorization: Token new-key-of-big"

# A job that its organisation's limit would never let run is refused at once.
apply 5 big:new-key-of-big:2000,small:key-of-small:0,tiny:key-of-tiny:1
"$BIN/endive-job" --to "$entries" --key key-of-tiny --jobs 1 --first 4000 \
	--seconds 3 >"$tmp/tiny" 2>&1 && fail "a job beyond its limit was completed"
leader=$(jobs_leader) || fail "no leader"
curl -s "http://127.0.0.$leader:$metrics/metrics" >"$tmp/metrics"
grep -q '^endive_organisation_refused_total{organisation="tiny"} [1-9]' \
	"$tmp/metrics" || fail "no refused job of tiny in the metrics"
grep -q 'msg=job-over-limit .*organisation="tiny"' "$tmp/c$leader.log" ||
	fail "no line on a job beyond its limit"

# Keys appear in no log and no metric, and a refused one is told by its digest.
grep -l -e key-of-big -e key-of-small -e key-of-nobody -e key-of-tiny \
	"$tmp"/*.log "$tmp/metrics" &&
	fail "a key is in a log or a metric"
grep -q 'msg=key-refused why=unknown-key key=[0-9a-f]\{16\} queue=' \
	"$tmp"/c*.log || fail "no line on a refused key"
echo "keys: refused and obeyed as configured, limits kept"
