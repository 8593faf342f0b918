#!/bin/sh
# Runs jobs of a queue with advice through real processes. Without an advice
# service such jobs must be refused at once. With one, their tasks must start
# with tickets only, while queries are lost, tickets expire after 1.5 s and a
# leader is killed.
set -u
BIN=${BIN:-build/san/bin}
JOBS_PORT=${ADVICE_PORT:-21900}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"

jobs_advised=1
jobs_fleet --tickets 1 || fail "configuration"
leader=$(jobs_leader) || fail "no leader"
grep -q 'msg=advice-nobody-to-ask' "$tmp/c$leader.log" ||
	fail "no log line says that no advice service is configured"
"$BIN/endive-job" --to "$entries" --jobs 1 --seconds 2 >"$tmp/out" 2>&1
grep -q 'job 0000000000000001 not accepted' "$tmp/out" || fail "job accepted without an advice service"
n=$(jobs_metric "$leader" endive_jobs_unadvised_total)
[ "${n:-0}" -gt 0 ] || fail "endive_jobs_unadvised_total: ${n:-none}"

# The changed settings contain the address of the service.
jobs_advice_service --valid-ms 1500 --percent 50 --lost-percent 10
for n in 1 2 3; do
	sed -i "s/^advice = .*/advice = 127.0.0.5:$callers/" "$tmp/c$n.conf"
	kill -HUP "$(jobs_pid "c$n")"
done
"$BIN/endive-job" --to "$entries" --jobs 10 --first 100 --seconds 60 \
	>"$tmp/out" 2>&1 || { cat "$tmp/out"; fail "jobs not completed without faults"; }

# A new leader has no tickets and must request new ones.
"$BIN/endive-job" --to "$entries" --jobs 20 --first 1000 --seconds 90 \
	>"$tmp/out" 2>&1 &
load=$!
sleep 1
leader=$(jobs_leader) || fail "no leader"
kill -9 "$(jobs_pid "c$leader")"
rm -f "$tmp/c$leader.pid"
wait $load || { cat "$tmp/out"; fail "jobs not completed after the leader was killed"; }

leader=$(jobs_leader) || fail "no leader"
for name in advice_calls advice_named advice_approved; do
	n=$(jobs_metric "$leader" "endive_${name}_total")
	[ "${n:-0}" -gt 0 ] || fail "endive_${name}_total: ${n:-none}"
done
refused=$(cat "$tmp"/w*.log | grep -c '^ticket ')
started=$(cat "$tmp"/w*.log | grep -c '^start ')
[ "$refused" = 0 ] || fail "$refused starts refused because of their ticket"
twice=$(cat "$tmp"/w*.log | grep '^done ' | cut -d' ' -f2 | sort | uniq -d)
[ -z "$twice" ] || fail "tasks done twice: $twice"

# A job that was accepted and is submitted again must not be answered as not
# accepted, even after the advice service was removed from the settings.
for n in 1 2 3; do
	[ -f "$tmp/c$n.pid" ] || continue
	sed -i "s/^advice = .*/advice =/" "$tmp/c$n.conf"
	kill -HUP "$(jobs_pid "c$n")"
done
tries=0
until "$BIN/endive-job" --to "$entries" --jobs 1 --first 5000 --seconds 1 2>&1 |
	grep -q 'not accepted'; do
	tries=$((tries + 1))
	[ $tries -lt 10 ] || fail "new jobs are still accepted without an advice service"
done
"$BIN/endive-job" --to "$entries" --jobs 1 --first 100 --seconds 5 \
	>"$tmp/out" 2>&1 || { cat "$tmp/out"; fail "accepted job refused when submitted again"; }

# An unknown orders setting must be logged at the start.
jobs_orders=other
jobs_control 9 false
tries=0
until grep -q 'msg=orders-not-known' "$tmp/c9.log"; do
	tries=$((tries + 1))
	[ $tries -lt 100 ] || fail "unknown orders setting not logged"
	sleep 0.1
done
echo "advice: $started started, none refused"
