#!/bin/sh
# Three voters as real processes on loopback: a leader killed, a leader frozen,
# a folder removed, a restart after 500 changes, a full disk, a lost majority.
# Ports from CONTROL_PORT (21100) on.
set -u
cd "$(dirname "$0")/../.." || exit 2
bin=$PWD/build/san/bin
port=${CONTROL_PORT:-21100}
dir=$(mktemp -d)
peers=a=127.0.0.1:$port,b=127.0.0.1:$((port + 1)),c=127.0.0.1:$((port + 2))
voters=127.0.0.1:$port,127.0.0.1:$((port + 1)),127.0.0.1:$((port + 2))

finish() {
	for n in a b c; do
		[ -f "$dir/$n.pid" ] && kill -9 "$(cat "$dir/$n.pid")" 2>/dev/null
	done
	rm -rf "$dir"
}
trap finish EXIT

fail() {
	echo "FAIL: $*"
	tail -n 20 "$dir"/*.log
	exit 1
}

# start NODE [FLAG...]; FILES limits the size of files it may write
start() {
	node=$1
	shift
	i=$(($(printf %d "'$node") - 97))
	mkdir -p "$dir/$node"
	(
		ulimit -f "${FILES:-unlimited}"
		exec "$bin/endive-controld" --node "$node" --zone "z$i" \
			--listen "127.0.0.1:$((port + i))" \
			--http "127.0.0.1:$((port + 10 + i))" \
			--peers "$peers" --keys "$dir/keys" \
			--data "$dir/$node" "$@" >>"$dir/$node.log" 2>&1
	) &
	echo $! >"$dir/$node.pid"
}

pid() {
	cat "$dir/$1.pid"
}

# die NODE: it is gone at once, and so is its hold on the folder
die() {
	kill -9 "$(pid "$1")"
	wait "$(pid "$1")" 2>/dev/null
}

submit() {
	"$bin/endive-submit" --keys "$dir/keys" --voters "$voters" \
		--timeout-ms 60000 "$@"
}

metric() {
	curl -s "http://127.0.0.1:$((port + 10 + $(printf %d "'$1") - 97))/metrics" |
		awk -v m="$2" '$1 == m { print $2 }'
}

leader() {
	for n in a b c; do
		[ "$(metric $n endive_voter_leads)" = 1 ] && echo $n && return
	done
}

# wait_for WHAT COMMAND...: until the command succeeds, at most 30 s
wait_for() {
	what=$1
	shift
	for _ in $(seq 300); do
		"$@" && return
		sleep 0.1
	done
	fail "$what"
}

has_leader() {
	[ -n "$(leader)" ]
}

# same NODE: it has committed as much as the leader
same() {
	l=$(leader)
	[ -n "$l" ] && [ "$(metric "$1" endive_voter_commit)" = \
		"$(metric "$l" endive_voter_commit)" ]
}

# members COUNT: that many, all of them voters
members() {
	rows=$(submit --query voters) || return 1
	[ "$(echo "$rows" | wc -l)" = "$1" ] &&
		[ "$(echo "$rows" | grep -c "$(printf '\tvoter\t')")" = "$1" ]
}

applied() {
	submit --query audit >"$dir/audit" && [ -s "$dir/audit" ]
}

printf 'peer peer %064d\n' 1 >"$dir/keys"
chmod 600 "$dir/keys"
for n in a b c; do
	start $n --initial
done
wait_for "no leader at the start" has_leader
submit --count 100 --prefix first || fail "first commands"

# An operator's commands go on. The leader is killed while they are on their
# way; another voter leads, and each is sent again by its identity.
old=$(leader)
submit --count 2000 --prefix kill >"$dir/kill.out" &
job=$!
sleep 0.2
die "$old"
wait "$job" || fail "commands across a killed leader"
new=$(leader)
[ -n "$new" ] && [ "$new" != "$old" ] || fail "no other leader"
start "$old"
wait_for "the killed voter has not caught up" same "$old"

# Nobody hears of two leaders. The leader stands still for longer than every
# timeout, another is elected, then it wakes and must follow.
old=$(leader)
kill -STOP "$(pid "$old")"
submit --count 100 --prefix freeze || fail "commands beside a frozen leader"
kill -CONT "$(pid "$old")"
wait_for "the frozen leader does not follow" same "$old"
[ "$(leader)" != "$old" ] || fail "the frozen leader took over again"

# A voter that was away for 500 changes catches up and disturbs nobody.
lead=$(leader)
for n in a b c; do
	[ $n != "$lead" ] && away=$n
done
die "$away"
submit --count 500 --prefix away --window 16 || fail "commands with one away"
term=$(metric "$lead" endive_voter_term)
start "$away"
wait_for "a voter 500 changes behind has not caught up" same "$away"
[ "$(metric "$lead" endive_voter_term)" = "$term" ] ||
	fail "the voter that came back disturbed the leader"

# A voter whose folder was removed comes back as another member, even where
# it may begin a fleet; the old one is let out, and all is still there.
die a
rm -rf "$dir/a"
start a --initial
wait_for "a removed folder was not replaced" members 3
wait_for "the replaced voter has not caught up" same a
grep -q act=begin "$dir/a.log" && [ "$(grep -c act=begin "$dir/a.log")" -gt 1 ] &&
	fail "a second fleet was begun"
submit --count 10 --prefix replaced || fail "commands after the replacement"

# A voter whose disk is full stops and says so; the others go on.
l=$(leader)
for n in a b c; do
	[ $n != "$l" ] && full=$n
done
again() {
	start "$full"
	wait_for "a voter whose disk was full has not caught up" same "$full"
	kill -TERM "$(pid "$full")"
	wait "$(pid "$full")" 2>/dev/null
}
kill -TERM "$(pid "$full")"
wait "$(pid "$full")" 2>/dev/null
# what a start writes anew of its newest log is then little
again
FILES=32 start "$full"
submit --count 500 --prefix full --window 16 || fail "commands beside a full disk"
wait "$(pid "$full")"
[ $? = 1 ] || fail "a voter with a full disk goes on"
grep -q msg=folder-failed "$dir/$full.log" || fail "a full disk is not told"

# So does one that has no room for its start.
again
starts=$(grep -c msg=start "$dir/$full.log")
FILES=32 start "$full"
wait "$(pid "$full")"
[ $? = 1 ] || fail "a start without room goes on"
[ "$(grep -c msg=start "$dir/$full.log")" = "$starts" ] ||
	fail "a start without room was told as one"
[ "$(grep -c msg=folder-failed "$dir/$full.log")" = 2 ] ||
	fail "a start without room is not told"
start "$full"
wait_for "a voter whose disk was full has not caught up" same "$full"

# A planned stop of the leader hands leadership over.
l=$(leader)
kill -TERM "$(pid "$l")"
wait "$(pid "$l")" || fail "the leader did not end cleanly"
wait_for "no leader after a planned stop" has_leader
start "$l"
wait_for "the stopped voter has not caught up" same "$l"

# Two of three are gone for good. The last one refuses until an operator says
# that the loss is accepted; the trail tells it, and the others join anew.
applied || fail "no audit trail"
before=$(wc -l <"$dir/audit")
for n in a b c; do
	die $n
done
rm -rf "$dir/b" "$dir/c"
start a
submit --count 1 --prefix lonely --timeout-ms 3000 2>/dev/null &&
	fail "a voter alone accepted a command"
die a
start a --recover-alone accept-loss
wait "$(pid a)" || fail "recovery"
start a
start b
start c
wait_for "the recovered fleet is not whole" members 3
applied || fail "no audit trail after recovery"
[ "$(wc -l <"$dir/audit")" -ge "$before" ] || fail "the audit trail is shorter"
submit --count 10 --prefix after || fail "commands after recovery"
for n in a b c; do
	kill -TERM "$(pid $n)"
	wait "$(pid $n)" || fail "$n did not end cleanly"
done
grep -h "ERROR: \|runtime error" "$dir"/*.log && fail "a sanitizer complains"
echo ok
