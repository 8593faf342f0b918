# To be sourced: functions that run a fleet on loopback, as plain processes,
# with two entry daemons and one voter in each of three zones, and simulated
# targets. Set BIN and PORT first. fleet_end ends every process in $pids, by id.
#
# Ports from PORT on: entry daemon I of 1..6 has PORT+10*I for callers, +1
# admin, +2 wire; voter J of 1..3 PORT+100+10*J wire, +1 http; targets from
# PORT+200.

BIN=${BIN:-build/bin}
PORT=${PORT:-22000}
ZONES="nw-a nw-b nw-c"
tmp=$(mktemp -d)
pids=
LOG=${LOG:-warn}

zone_of() {
	echo "$ZONES" | cut -d ' ' -f "$1"
}

entry_addr() {
	echo "127.0.0.1:$((PORT + 10 * $1))"
}

admin_addr() {
	echo "127.0.0.1:$((PORT + 10 * $1 + 1))"
}

wire_addr() {
	echo "127.0.0.1:$((PORT + 10 * $1 + 2))"
}

voter_addr() {
	echo "127.0.0.1:$((PORT + 100 + 10 * $1))"
}

# list FN N...: prints FN of each N, separated by commas.
list() {
	fn=$1
	shift
	out=
	for n in "$@"; do
		out="$out${out:+,}$($fn "$n")"
	done
	echo "$out"
}

# start NAME PROGRAM ARGS...: starts a process; its pid is in $last and in the
# file NAME.pid.
start() {
	name=$1
	shift
	"$@" >>"$tmp/$name.log" 2>&1 &
	last=$!
	pids="$pids $last"
	echo "$last" >"$tmp/$name.pid"
}

pid_of() {
	cat "$tmp/$1.pid"
}

make_keys() {
	peer=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
	op=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
	duty=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
	(
		umask 077
		printf 'fleet peer %s\nanna operate %s\ndora duty %s\n' \
			"$peer" "$op" "$duty" >"$tmp/keys"
		printf 'anna operate %s\n' "$op" >"$tmp/anna"
		printf 'dora duty %s\n' "$duty" >"$tmp/dora"
	)
}

start_voter() {
	mkdir -p "$tmp/data$1"
	# shellcheck disable=SC2086
	start "voter$1" "$BIN/endive-controld" --node "v$1" \
		--zone "$(zone_of "$1")" --listen "$(voter_addr "$1")" \
		--http "127.0.0.1:$((PORT + 100 + 10 * $1 + 1))" \
		--peers "v1=$(voter_addr 1),v2=$(voter_addr 2),v3=$(voter_addr 3)" \
		--keys "$tmp/keys" --data "$tmp/data$1" --log-level "$LOG" ${2:-}
}

# Entry daemons 1 and 2 are in the first zone, 3 and 4 in the second, ...
start_entry() {
	# shellcheck disable=SC2086
	start "entry$1" "$BIN/endive-entryd" --node "e$1" \
		--zone "$(zone_of $((($1 + 1) / 2)))" \
		--listen "$(entry_addr "$1")" --admin "$(admin_addr "$1")" \
		--wire "$(wire_addr "$1")" --voters "$(list voter_addr 1 2 3)" \
		--peers "$(list wire_addr 1 2 3 4 5 6)" --keys "$tmp/keys" \
		--drain-ms "${DRAIN_MS:-1000}" --log-level "$LOG" ${2:-}
}

# start_target NAME SERVICE ZONE-NUMBER VM N: starts a target that announces
# itself to the entry daemons of its zone.
start_target() {
	z=$3
	start "$1" "$BIN/endive-target" --name "$1" --service "$2" \
		--zone "$(zone_of "$z")" --vm "$4" \
		--listen "127.0.0.1:$((PORT + 200 + 2 * $5))" \
		--control "127.0.0.1:$((PORT + 201 + 2 * $5))" \
		--announce "$(admin_addr $((2 * z - 1))),$(admin_addr $((2 * z)))" \
		--linger-ms "${LINGER_MS:-2000}"
}

target_control() {
	echo "127.0.0.1:$((PORT + 201 + 2 * $1))"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
	until=$(($(date +%s) + $1))
	shift
	while [ "$(date +%s)" -le "$until" ]; do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	echo "timed out waiting for: $*" >&2
	return 1
}

ctl() {
	"$BIN/endivectl" --servers "$(list voter_addr 1 2 3)" \
		--keys "$tmp/anna" "$@"
}

healthy() {
	[ "$(curl -s -o "$tmp/health" -w '%{http_code}' \
		"http://$(admin_addr "$1")/health")" = 200 ]
}

# serves ENTRY COUNT: whether the daemon knows at least COUNT serving targets.
serves() {
	[ "$(curl -s "http://$(admin_addr "$1")/status" |
		grep -c 'state=serving')" -ge "$2" ]
}

# key_replicas ENTRY COUNT: whether the idempotency store of its zone has COUNT
# replicas.
key_replicas() {
	curl -s "http://$(admin_addr "$1")/status" | grep -q "key_keepers=$2"
}

# metric ENTRY NAME: prints the value of a metric.
metric() {
	curl -s "http://$(admin_addr "$1")/metrics" |
		awk -v n="$2" '$1 == n { print $2 }'
}

# Starts six check and six valuation targets, two of each in a zone, each on a
# VM of its own.
start_targets() {
	start_target check-1 check 1 hw01 1
	start_target check-2 check 1 hw02 2
	start_target check-3 check 2 hw18 3
	start_target check-4 check 2 hw19 4
	start_target check-5 check 3 hw35 5
	start_target check-6 check 3 hw36 6
	start_target valuation-1 valuation 1 hw09 7
	start_target valuation-2 valuation 1 hw10 8
	start_target valuation-3 valuation 2 hw26 9
	start_target valuation-4 valuation 2 hw27 10
	start_target valuation-5 valuation 3 hw43 11
	start_target valuation-6 valuation 3 hw44 12
}

fleet_start() {
	make_keys
	for j in 1 2 3; do start_voter $j --initial; done
	for i in 1 2 3 4 5 6; do start_entry $i; done
	start_targets
	wait_for 15 ctl --timeout 2 voters
}

fleet_apply() {
	ctl apply examples/harrowgate.conf examples/harrowgate-north-west.conf
}

fleet_ready() {
	for i in 1 2 3 4 5 6; do wait_for 10 healthy $i || return 1; done
	for i in 1 2 3 4 5 6; do wait_for 10 serves $i 4 || return 1; done
}

fleet_end() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill "$p" 2>/dev/null
	done
	n=0
	for p in $pids; do
		while kill -0 "$p" 2>/dev/null && [ $n -lt 100 ]; do
			sleep 0.05
			n=$((n + 1))
		done
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] || rm -rf "$tmp"
}
