#!/bin/sh
# Failures of real processes under load: what callers see when entry daemons,
# voters and targets are killed, suspended and shut down. The load tool checks
# each answer and counts runs at the targets.
set -u
cd "$(dirname "$0")/../.." || exit 2
BIN=build/san/bin
PORT=${FAILURE_PORT:-21400}
DRAIN_MS=500
. tests/system/fleet.sh
trap fleet_end EXIT
bad=0

# load NAME COLUMN=MAX... -- ARGS...: runs endive-load; fails where a column of
# its table exceeds its limit.
load() {
	name=$1
	shift
	limits=
	while [ "$1" != -- ]; do
		limits="$limits $1"
		shift
	done
	shift
	"$BIN/endive-load" --tsv "$tmp/$name.tsv" "$@" >"$tmp/$name.table" 2>&1
	[ -z "${SHOW:-}" ] || { echo "== $name"; cat "$tmp/$name.table"; }
	for l in $limits; do
		got=$(awk -F '\t' -v want="${l%=*}" 'NR == 1 {
			for (i = 1; i <= NF; i++) if ($i == want) c = i }
			{ v = $c } END { print v }' "$tmp/$name.tsv")
		[ -n "$got" ] && [ "$got" -le "${l#*=}" ] && continue
		echo "$name: limit $l exceeded: $got"
		cat "$tmp/$name.table"
		bad=1
	done
}

guarantees="cut=0 swapped=0 short=0 lost=0 doubled=0 run_though_not_run=0"
entries="--entry $(list entry_addr 1 2 3 4 5 6) --admin $(list admin_addr 1 2 3 4 5 6)"
valuations="--targets $(list target_control 7 8 9 10 11 12) --path /valuation/work --method POST"

fleet_start && fleet_apply && fleet_ready || exit 1
for i in 1 2 3 4 5 6; do
	wait_for 10 key_replicas $i 2 || exit 1
done

# An entry VM is killed while it forwards requests. Callers whose connections
# break send the same key to another entry VM, of this zone or another. Each
# request runs at most once, and most get their answer; where the outcome can't
# be determined the caller gets "unknown", never a wrong "not run".
prefix=$(curl -s "http://$(entry_addr 1)/endive/key" | cut -d . -f 1-3)
(sleep 1; kill -9 "$(pid_of entry1)") &
pids="$pids $!"
# shellcheck disable=SC2086
load killed doubled=0 swapped=0 run_though_not_run=0 unknown=25 -- $entries $valuations \
	--key --key-prefix "$prefix" --resend 3 --schedule 3s@40 --ms 60

# The killed entry daemon restarts without records and is synchronised again.
start_entry 1
wait_for 10 healthy 1 || bad=1
wait_for 10 key_replicas 1 2 || bad=1
prefix=$(curl -s "http://$(entry_addr 1)/endive/key" | cut -d . -f 1-3)

# An entry daemon is suspended for longer than every timeout and resumes.
# Callers' requests there wait for their own timeout; nothing runs twice, and no
# request gets the answer to another.
(sleep 1; kill -STOP "$(pid_of entry3)"; sleep 4; kill -CONT "$(pid_of entry3)") &
pids="$pids $!"
# shellcheck disable=SC2086
load suspended doubled=0 swapped=0 run_though_not_run=0 unknown=40 -- $entries $valuations \
	--key --key-prefix "$prefix" --resend 2 --timeout-ms 3000 \
	--schedule 6s@30 --ms 30

# Two voters are killed one after the other, so that no quorum is left. Callers
# see no errors: entry daemons keep working by the view they have.
(sleep 1; kill -9 "$(pid_of voter1)"; sleep 1; kill -9 "$(pid_of voter2)") &
pids="$pids $!"
# shellcheck disable=SC2086
load voters $guarantees not_run=0 unknown=0 error=0 -- $entries $valuations \
	--schedule 4s@40 --ms 10
start_voter 1
start_voter 2
wait_for 10 ctl drain hw02 --yes || bad=1

# A target is killed while it runs requests. Those requests end as unknown
# (POST, may have run); all others get complete answers.
(sleep 1; kill -9 "$(pid_of valuation-3)") &
pids="$pids $!"
# shellcheck disable=SC2086
load target doubled=0 swapped=0 run_though_not_run=0 cut=0 not_run=0 -- \
	$entries $valuations --schedule 4s@60 --ms 40

# An entry daemon of each zone is shut down gracefully, one after the other,
# under load: callers see no errors.
(
	for d in entry2 entry4 entry6; do
		sleep 1
		kill -TERM "$(pid_of $d)"
	done
) &
pids="$pids $!"
# shellcheck disable=SC2086
load stopped $guarantees not_run=0 unknown=0 error=0 -- $entries $valuations \
	--schedule 6s@60 --ms 40
exit $bad
