#!/bin/sh
# Real processes under failure: what callers see when entry daemons, voters and
# targets are killed, frozen, cut off and stopped under load. The load tool
# judges each answer and counts runs at the targets.
set -u
cd "$(dirname "$0")/../.." || exit 2
BIN=build/san/bin
PORT=${FAILURE_PORT:-21400}
DRAIN_MS=500
. tests/system/fleet.sh
trap fleet_end EXIT
bad=0

# load NAME COLUMN-LIMITS... -- ARGS...: COLUMN=MAX for each outcome.
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
		echo "$name: $l broken: $got"
		cat "$tmp/$name.table"
		bad=1
	done
}

promises="cut=0 swapped=0 short=0 lost=0 doubled=0 run_though_not_run=0"
entries="--entry $(list entry_addr 1 2 3 4 5 6) --admin $(list admin_addr 1 2 3 4 5 6)"
valuations="--targets $(list target_control 7 8 9 10 11 12) --path /valuation/work --method POST"

fleet_start && fleet_apply && fleet_ready || exit 1
for i in 1 2 3 4 5 6; do
	wait_for 10 keepers $i 2 || exit 1
done

# A caller sends a valuation; the entry VM that carries it is killed. The
# caller sees its connection break and sends the same key to another entry VM,
# of this zone or another. It runs at most once, and mostly it gets its answer;
# who can't be told hears "unknown", never a wrong "not run".
prefix=$(curl -s "http://$(entry_addr 1)/endive/key" | cut -d . -f 1-3)
(sleep 1; kill -9 "$(pid_of entry1)") &
pids="$pids $!"
# shellcheck disable=SC2086
load killed doubled=0 swapped=0 run_though_not_run=0 unknown=25 -- $entries $valuations \
	--key --key-prefix "$prefix" --resend 3 --schedule 3s@40 --ms 60

# The killed entry VM comes back without memory and learns it again.
start_entry 1
wait_for 10 healthy 1 || bad=1
wait_for 10 keepers 1 2 || bad=1
prefix=$(curl -s "http://$(entry_addr 1)/endive/key" | cut -d . -f 1-3)

# An entry VM is frozen for longer than every time-out and goes on. Callers'
# requests there wait for their own time-out; nothing runs twice, and no answer
# comes to another request.
(sleep 1; kill -STOP "$(pid_of entry3)"; sleep 4; kill -CONT "$(pid_of entry3)") &
pids="$pids $!"
# shellcheck disable=SC2086
load frozen doubled=0 swapped=0 run_though_not_run=0 unknown=40 -- $entries $valuations \
	--key --key-prefix "$prefix" --resend 2 --timeout-ms 3000 \
	--schedule 6s@30 --ms 30

# The leading voter is killed, then a second one: no majority is left. Callers
# notice nothing: entry daemons go on with what they know.
(sleep 1; kill -9 "$(pid_of voter1)"; sleep 1; kill -9 "$(pid_of voter2)") &
pids="$pids $!"
# shellcheck disable=SC2086
load voters $promises not_run=0 unknown=0 error=0 -- $entries $valuations \
	--schedule 4s@40 --ms 10
start_voter 1
start_voter 2
wait_for 10 ctl drain hw02 --yes || bad=1

# A target's VM dies without a word while it runs requests. Those there end as
# unknown (POST, may have run); all others are whole.
(sleep 1; kill -9 "$(pid_of valuation-3)") &
pids="$pids $!"
# shellcheck disable=SC2086
load target doubled=0 swapped=0 run_though_not_run=0 cut=0 not_run=0 -- \
	$entries $valuations --schedule 4s@60 --ms 40

# Every daemon gets a planned stop, one after the other, under load: no caller
# notices.
(
	for d in entry2 entry4 entry6; do
		sleep 1
		kill -TERM "$(pid_of $d)"
	done
) &
pids="$pids $!"
# shellcheck disable=SC2086
load stopped $promises not_run=0 unknown=0 error=0 -- $entries $valuations \
	--schedule 6s@60 --ms 40
exit $bad
