#!/bin/sh
# An operator's day with real processes on loopback: three voters, two entry
# daemons of two zones; check, diff, apply, conflict, drain, move, priority,
# audit, and the leader killed in between. Ports from CLI_PORT (21220) on.
set -u
cd "$(dirname "$0")/../.." || exit 2
bin=$PWD/build/san/bin
port=${CLI_PORT:-21220}
dir=$(mktemp -d)
voters=127.0.0.1:$port,127.0.0.1:$((port + 1)),127.0.0.1:$((port + 2))

finish() {
	for f in "$dir"/*.pid; do
		[ -f "$f" ] && kill -9 "$(cat "$f")" 2>/dev/null
	done
	rm -rf "$dir"
}
trap finish EXIT

fail() {
	echo "FAIL: $*"
	tail -n 15 "$dir"/*.log "$dir"/out "$dir"/err
	exit 1
}

keys() {
	printf '%s\n%s\n%s\n%s\n' "$@" >"$dir/keys.$name"
	chmod 600 "$dir/keys.$name"
}
hex() {
	printf "$1%.0s" 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 \
		17 18 19 20 21 22 23 24 25 26 27 28 29 30 31 32
}
peer="fleet peer $(hex a1)"
anna="anna operate $(hex b2)"
ivo="ivo operate $(hex c3)"
mara="mara duty $(hex d4)"
name=fleet keys "$peer" "$anna" "$ivo" "$mara"
for who in anna ivo mara; do
	eval "own=\$$who"
	name=$who keys "$own" "" "" ""
done

voter() {
	mkdir -p "$dir/v$1"
	"$bin/endive-controld" --node "v$1" --zone "nw-a" \
		--listen "127.0.0.1:$((port + $1))" \
		--http "127.0.0.1:$((port + 10 + $1))" \
		--peers "v0=127.0.0.1:$port,v1=127.0.0.1:$((port + 1)),v2=127.0.0.1:$((port + 2))" \
		--keys "$dir/keys.fleet" --data "$dir/v$1" --initial \
		>>"$dir/v$1.log" 2>&1 &
	echo $! >"$dir/v$1.pid"
}

entry() {
	"$bin/endive-entryd" --node "e$1" --zone "$2" \
		--listen "127.0.0.1:$((port + 20 + $1))" \
		--admin "127.0.0.1:$((port + 25 + $1))" \
		--wire "127.0.0.1:$((port + 30 + $1))" --voters "$voters" \
		--keys "$dir/keys.fleet" >>"$dir/e$1.log" 2>&1 &
	echo $! >"$dir/e$1.pid"
}

# as WHO EXPECTED-STATUS ARGUMENT...
as() {
	who=$1
	want=$2
	shift 2
	"$bin/endivectl" --servers "$voters" --keys "$dir/keys.$who" \
		--timeout 30 "$@" >"$dir/out" 2>"$dir/err"
	got=$?
	[ "$got" = "$want" ] || fail "$who $*: status $got, expected $want"
}

shows() {
	grep -q -- "$1" "$dir/out" "$dir/err" || fail "not shown: $1"
}

# soon PATTERN ARGUMENT...: the query shows it within 30 s
soon() {
	pattern=$1
	shift
	for _ in $(seq 150); do
		as anna 0 "$@"
		grep -q -- "$pattern" "$dir/out" && return
		sleep 0.2
	done
	fail "never shown: $pattern"
}

for i in 0 1 2; do voter $i; done
entry 0 nw-a
entry 1 nw-b

# A deadline of 1 s lets the move below end soon.
sed 's/^deadline = .*/deadline = 1s/' examples/harrowgate.conf >"$dir/base.conf"
cp examples/harrowgate-north-west.conf "$dir/nw.conf"

# Applied, and in force at both entry daemons before the client says so.
soon 'e1 ' nodes
as anna 0 --reason "first" apply "$dir/base.conf" "$dir/nw.conf"
shows 'configuration 1 accepted'
shows 'north-west: 2 of 2 entry daemons'
as anna 0 show north-west
shows 'slots .* 10 .*nw.conf:8'

# Both edit number 1; anna is first, so ivo is told who, when and what.
sed 's/^priority = 70/priority = 71/' "$dir/base.conf" >"$dir/anna.conf"
as anna 0 diff "$dir/anna.conf" "$dir/nw.conf"
shows 'pool check *priority *70'
as anna 0 --base 1 apply "$dir/anna.conf" "$dir/nw.conf"
as ivo 3 --base 1 apply "$dir/base.conf" "$dir/nw.conf"
shows 'but 2 is in force: by anna at'

# A faulty file never leaves the client.
sed 's/^slots = 8/slots = many/' "$dir/base.conf" >"$dir/bad.conf"
as anna 1 --base 2 apply "$dir/bad.conf"
shows 'bad.conf:24: \[pool check\] slots = many'

# Dangerous commands show their effect first; roles are kept.
as anna 2 drain hw01
shows 'give --yes'
as anna 0 --yes --reason "bad disk" drain hw01
shows 'hw01 gets no new work'
id=$(sed -n 's/^command //p' "$dir/err")
as anna 0 status "$id"
shows accepted
as anna 1 priority check 99
shows forbidden
as mara 0 priority check 99
as anna 0 pools check
shows '99  *mara'

# The leader is killed: a move begun before goes on under the next one.
as anna 0 --yes move hw02 archive
as anna 0 voters
leader=$(awk '/leader/ && $0 ~ /v[0-2]/ { for (i = 1; i <= NF; i++) if ($i ~ /^v[0-2]$/) { print $i; exit } }' "$dir/out")
[ -n "$leader" ] || fail "voters shows no leader"
kill -9 "$(cat "$dir/$leader.pid")"
soon 'hw02 .* archive *-  *settled' vms hw02

# The entry daemon of nw-a is frozen, and would place by its old view if it
# woke. A VM of its zone is not released; the one of nw-b moves meanwhile, and
# the first follows as soon as the frozen daemon has heard.
kill -STOP "$(cat "$dir/e0.pid")"
as anna 0 --yes move hw03 archive
as anna 0 --yes move hw20 archive
soon 'hw20 .* archive *-  *settled' vms hw20
as anna 0 vms hw03
shows 'archive *releasing'
kill -CONT "$(cat "$dir/e0.pid")"
soon 'hw03 .* archive *-  *settled' vms hw03

# What happened is in the trail, and a change of it shows.
as anna 0 --json audit
cp "$dir/out" "$dir/trail.json"
as anna 0 verify "$dir/trail.json"
shows 'chain whole'
sed 's/bad disk/good disk/' "$dir/trail.json" >"$dir/edited.json"
as anna 1 verify "$dir/edited.json"
shows 'does not follow'
as anna 0 audit
shows 'drain hw01 (bad disk)'
shows 'every entry daemon of its zone has let go'
shows 'forbidden: priority 99 for check'

# No majority: nothing is done, and the client says just that.
for v in 0 1 2; do
	[ "v$v" = "$leader" ] || { kill -9 "$(cat "$dir/v$v.pid")" && break; }
done
"$bin/endivectl" --servers "$voters" --keys "$dir/keys.anna" --timeout 3 \
	--base last apply "$dir/base.conf" >"$dir/out" 2>"$dir/err"
[ $? = 5 ] || fail "without a majority"
echo "passed"
