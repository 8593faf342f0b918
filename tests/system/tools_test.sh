#!/bin/sh
# The tools against each other: what the load tool counts must be what the
# stand-in target was told to do. Ports from TOOLS_PORT on.
set -u
cd "$(dirname "$0")/../.." || exit 2
bin=build/san/bin
port=${TOOLS_PORT:-21300}
target=127.0.0.1:$port
control=127.0.0.1:$((port + 1))
relay=127.0.0.1:$((port + 2))
relay_control=127.0.0.1:$((port + 3))
nobody=127.0.0.1:$((port + 4))
tmp=$(mktemp -d)
pids=
bad=0

finish() {
	for p in $pids; do
		kill "$p" 2>/dev/null
	done
	wait
	rm -rf "$tmp"
}
trap finish EXIT

start() {
	"$@" &
	last=$!
	pids="$pids $last"
}

up() {
	for _ in $(seq 100); do
		curl -s -o "$tmp/up" "http://$1/status" && return 0
		sleep 0.05
	done
	echo "nobody answers at $1"
	exit 1
}

fault() {
	curl -s -o "$tmp/fault" -d "$1" "http://$control/fault"
}

# load NAME ARGS...: runs the load tool, its counts end up for count.
load() {
	name=$1
	shift
	"$bin/endive-load" --targets "$control" --tsv "$tmp/tsv" "$@" \
		>"$tmp/table" 2>&1
	status=$?
}

# count COLUMN: of the last line, which sums up all segments.
count() {
	awk -F '\t' -v want="$1" 'NR == 1 { for (i = 1; i <= NF; i++)
		if ($i == want) c = i } { v = $c } END { print v }' "$tmp/tsv"
}

# expect COLUMN=COUNT...: each as it must be.
expect() {
	for e in "$@"; do
		got=$(count "${e%=*}")
		[ "$got" = "${e#*=}" ] && continue
		echo "$name: expected $e, got $got"
		head -12 "$tmp/table"
		bad=1
	done
}

expect_status() {
	[ "$status" = "$1" ] && return
	echo "$name: expected exit status $1, got $status"
	bad=1
}

at_least() {
	got=$(count "$1")
	[ "$(echo "$got $2" | awk '{ print ($1 >= $2) }')" = 1 ] && return
	echo "$name: expected $1 of at least $2, got $got"
	head -12 "$tmp/table"
	bad=1
}

start "$bin/endive-target" --name t1 --service drafts --listen "$target" \
	--control "$control" --linger-ms 0 --slots 3
target_pid=$last
start "$bin/endive-relay" --listen "$relay" --to "$target" \
	--control "$relay_control"
relay_pid=$last
up "$control"
up "$relay_control"
few="--entry $target --schedule 200ms@100 --timeout-ms 300 --check"
# At most as many at once as the target has slots, so that a machine that stands
# still for a moment makes no refusals of its own.
slots="--conns 3"

# Nothing is wrong: all 20 are whole and each was run once.
load healthy $few $slots --method POST --body 3000 --size 100000
expect due=20 whole=20 lost=0 doubled=0 run_though_not_run=0 resent=0
expect_status 0

# Each fault of the target, and the one column in which it must show; only
# what a caller can't tell, or was told wrongly, breaks a promise.
while read -r kind column promise; do
	fault "kind=$kind"
	load "$kind" $few $slots --size 5000
	expect due=20 "$column=20"
	expect_status "$promise"
done <<END
fail error 0
cut cut 0
no-length whole 0
no-length-cut short 1
wrong-length short 1
refuse not_run 0
swap swapped 1
lie run_though_not_run 1
uncounted lost 1
END

# A target that never answers holds its slots; callers give up on three, the
# rest is refused, and a slot is free once its caller has gone.
fault kind=silent
load silent $few --schedule 100ms@100
expect due=10 unknown=3 not_run=7 unknown_ran=3 run_though_not_run=0

# The answer is cut after the run, and the caller sends again with its key to
# a target that knows nothing of keys: each is run twice.
fault kind=cut
load doubled $few $slots --method POST --key --resend 1
expect due=20 cut=20 resent=20 doubled=20
expect_status 1

# Slower by a factor: a lower bound, which a busy machine can't break.
fault "kind=none&factor=4"
load slow $few $slots --ms 5
expect whole=20
at_least p50_ms 20
fault factor=1

# 50 are due in 0.5 s, each takes 20 ms, and there is one connection: the last
# waits half a second behind the others, and that must show in its latency.
load omission --entry "$target" --conns 1 --ms 20 --schedule 500ms@100
expect due=50 whole=50
at_least max_ms 500

# More at once than slots: the rest is refused and was not run.
load slots --entry "$target" --ms 100 --schedule 50ms@200 --check
expect due=10 whole=3 not_run=7 no_retry_after=0 run_though_not_run=0
expect_status 0

# An address where nobody listens costs no caller anything.
load refused $few --entry "$nobody,$target"
expect due=20 whole=20 unreached=0
load nobody --entry "$nobody" --schedule 100ms@50
expect due=5 unreached=5

# A middlebox forgets the one open connection while its answer is on the way:
# that caller hears nothing more, and those on new connections are served.
"$bin/endive-load" --entry "$relay" --conns 1 --ms 600 --timeout-ms 1200 \
	--schedule 500ms@4 --tsv "$tmp/tsv" >"$tmp/table" 2>&1 &
load_pid=$!
for _ in $(seq 200); do
	curl -s "http://$control/status" | grep -q busy=1 && break
	sleep 0.01
done
curl -s -o "$tmp/mode" -d mode=forget "http://$relay_control/mode"
wait "$load_pid"
name=forgotten
expect due=2 unknown=1 whole=1
curl -s "http://$relay_control/status" >"$tmp/status"
grep -q '^forgotten=1$' "$tmp/status" || {
	echo "forgotten: the relay closed the connection"
	bad=1
}

# Late, dropped and silent connections through the relay.
curl -s -o "$tmp/mode" -d "mode=delay&delay_ms=50" "http://$relay_control/mode"
load delay $few --entry "$relay"
expect whole=20
at_least p50_ms 100
curl -s -o "$tmp/mode" -d mode=drop "http://$relay_control/mode"
load drop --entry "$relay" --schedule 100ms@50 --timeout-ms 300
expect due=5 unknown=5 unknown_ran=0
curl -s -o "$tmp/mode" -d mode=silent "http://$relay_control/mode"
load silent-relay --entry "$relay" --schedule 100ms@50 --timeout-ms 300
expect due=5 unknown=5 unknown_ran=0

# Half go to the silent relay, and after no answer again to the target, which
# refuses. It has not run them, but the first sending may have been run, so
# those callers must not be told "not run".
fault kind=refuse
load refused-later --entry "$relay,$target" --schedule 100ms@100 \
	--timeout-ms 300 --key --resend 1
expect due=10 unknown=5 not_run=5 resent=5
fault kind=none

# Settings that don't fit get one line and status 2.
load settings --entry "$target" --schedule 10s
expect_status 2
load settings --entry "$target" --resend 1
expect_status 2

# The line through points, exact and bent; points that have none.
name=fit
printf '# x y\n1 3\n2 5\n4 9\n' | "$bin/endive-fit" --at=10 >"$tmp/tsv"
expect points=3 slope=2 intercept=1 r2=1.00000 worst=0.0000 at=21
printf '1 1\n2 4\n3 9\n4 16\n' | "$bin/endive-fit" >"$tmp/tsv"
expect slope=5 intercept=-5 r2=0.96899 power=2.000
for points in '1 1' '1 1\n1 2' '1 a\n2 2' '1 1\n2 nan'; do
	printf "$points\n" | "$bin/endive-fit" >"$tmp/tsv" 2>"$tmp/table"
	status=$?
	expect_status 2
done

kill "$target_pid" "$relay_pid"
for p in $target_pid $relay_pid; do
	wait "$p" || {
		echo "a tool did not end cleanly"
		bad=1
	}
done
pids=
exit $bad
