#!/bin/sh
# The whole path on loopback: three zones, two entry daemons in each, a voter
# in each, stand-in targets, an operator. Prints what every caller saw, and
# ends with 1 if a promise to a caller was broken. Leaves nothing running.
set -u
cd "$(dirname "$0")/../.." || exit 2
PORT=${DEMO_PORT:-22000}
# A target that has left stays to be asked what it ran.
LINGER_MS=15000
. tests/system/fleet.sh
trap fleet_end EXIT

say() {
	printf '\n== %s\n' "$*"
}

say "start: 3 voters, 6 entry daemons, 12 targets"
fleet_start || exit 1

say "the operator applies a base file and a site's overlay"
fleet_apply || exit 1
fleet_ready || exit 1
ctl voters

say "callers send requests, while a VM is drained and an entry VM stopped"
"$BIN/endive-load" --entry "$(list entry_addr 1 2 3 4 5 6)" \
	--admin "$(list admin_addr 1 2 3 4 5 6)" \
	--targets "$(list target_control 1 2 3 4 5 6)" \
	--path /check/work --schedule 8s@150 --ms 5 --check \
	>"$tmp/check.table" 2>&1 &
checks=$!
"$BIN/endive-load" --entry "$(list entry_addr 1 2 3 4 5 6)" \
	--admin "$(list admin_addr 1 2 3 4 5 6)" \
	--targets "$(list target_control 7 8 9 10 11 12)" \
	--path /valuation/work --method POST --schedule 8s@50 --ms 20 --check \
	>"$tmp/valuation.table" 2>&1 &
valuations=$!
pids="$pids $checks $valuations"
sleep 2
ctl drain hw01 --yes --reason "demo: broken fan"
kill -TERM "$(pid_of entry4)"
sleep 2
say "a target leaves by itself"
curl -s -o "$tmp/leave" -d "" "http://$(target_control 8)/leave"
rc=0
wait $checks || rc=1
wait $valuations || rc=1

say "what callers of /check saw"
cat "$tmp/check.table"
say "what callers of /valuation saw (POST, at most once)"
cat "$tmp/valuation.table"

say "versions in force, drains and the audit trail"
ctl nodes
ctl vms hw01
ctl audit

say "measures"
for i in 1 2 3 5 6; do
	printf 'entry %s: requests %s, ran %s, not run %s, unknown %s, memory %s kB\n' \
		"$i" "$(metric $i endive_requests_total)" \
		"$(metric $i endive_answers_ran_total)" \
		"$(metric $i endive_answers_not_run_total)" \
		"$(metric $i endive_answers_unknown_total)" \
		"$(($(metric $i process_resident_memory_bytes) / 1024))"
done
if kill -0 "$(pid_of entry4)" 2>/dev/null; then
	echo "entry 4 still runs"
	rc=1
fi
[ $rc = 0 ] && say "no promise to a caller was broken"
exit $rc
