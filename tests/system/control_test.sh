#!/bin/sh
# Runs three voters as real processes on loopback: a killed leader, a paused
# leader, a removed folder, a restart 500 changes behind, a full disk, a lost
# majority. Uses the ports from CONTROL_PORT (21100) on.
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

# start NODE [FLAG...]: starts a voter; FILES limits the size of its files.
start() {
	node=$1
	shift
	i=$(($(printf %d "'$node") - 97))
	mkdir -p "$dir/$node"
	(
		ulimit -S -f "${FILES:-unlimited}"
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

# kill_node NODE: kills a voter and waits until its lock on the folder is free.
kill_node() {
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

# wait_for MESSAGE COMMAND...: waits until COMMAND succeeds, at most 30 s.
wait_for() {
	message=$1
	shift
	for _ in $(seq 300); do
		"$@" && return
		sleep 0.1
	done
	fail "$message"
}

has_leader() {
	[ -n "$(leader)" ]
}

# caught_up NODE: whether NODE has the commit index of the leader.
caught_up() {
	l=$(leader)
	[ -n "$l" ] && [ "$(metric "$1" endive_voter_commit)" = \
		"$(metric "$l" endive_voter_commit)" ]
}

# members COUNT: whether there are COUNT members, all of them voters.
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

# Guards against commands lost with a killed leader: another voter is elected,
# and each command in flight is sent again under its id.
old=$(leader)
submit --count 2000 --prefix kill >"$dir/kill.out" &
job=$!
sleep 0.2
kill_node "$old"
wait "$job" || fail "commands across a killed leader"
new=$(leader)
[ -n "$new" ] && [ "$new" != "$old" ] || fail "no other leader"
start "$old"
wait_for "the killed voter has not caught up" caught_up "$old"

# Guards against two leaders: the leader is paused for longer than every
# timeout, another is elected, and the old one must follow when it resumes.
old=$(leader)
kill -STOP "$(pid "$old")"
submit --count 100 --prefix freeze || fail "commands beside a paused leader"
kill -CONT "$(pid "$old")"
wait_for "the paused leader does not follow" caught_up "$old"
[ "$(leader)" != "$old" ] || fail "the paused leader leads again"

# Guards against a restarted voter that does not catch up with 500 changes, or
# that forces an election by a higher term.
lead=$(leader)
for n in a b c; do
	[ $n != "$lead" ] && away=$n
done
kill_node "$away"
submit --count 500 --prefix away --window 16 || fail "commands with one away"
term=$(metric "$lead" endive_voter_term)
start "$away"
wait_for "a voter 500 changes behind has not caught up" caught_up "$away"
[ "$(metric "$lead" endive_voter_term)" = "$term" ] ||
	fail "the restarted voter forced an election"

# Guards against a voter that creates a second fleet, as --initial allows, when
# its folder was removed. It must join as another member, the old member must
# be removed, and no data may be lost.
kill_node a
rm -rf "$dir/a"
start a --initial
wait_for "a removed folder was not replaced" members 3
wait_for "the replaced voter has not caught up" caught_up a
grep -q act=begin "$dir/a.log" && [ "$(grep -c act=begin "$dir/a.log")" -gt 1 ] &&
	fail "a second fleet was created"
submit --count 10 --prefix replaced || fail "commands after the replacement"

# Guards against a voter that a full disk ends, or that takes part with one: it
# must say so once, stay, and acknowledge nothing until there is space, and the
# others must continue.
l=$(leader)
for n in a b c; do
	[ $n != "$l" ] && full=$n
done

# make_room NODE: lifts the limit on the size of its files.
make_room() {
	prlimit --pid "$(pid "$1")" --fsize=unlimited: ||
		fail "prlimit $1"
}

# logged NODE MESSAGE COUNT: whether its log has that message so often.
logged() {
	[ "$(grep -c "msg=$2 " "$dir/$1.log")" = "$3" ]
}

kill -TERM "$(pid "$full")"
wait "$(pid "$full")" 2>/dev/null
# After this restart the newest log, which a start rewrites, is small.
start "$full"
wait_for "a voter whose disk was full has not caught up" caught_up "$full"
kill -TERM "$(pid "$full")"
wait "$(pid "$full")" 2>/dev/null
FILES=32 start "$full"
submit --count 500 --prefix full --window 16 || fail "commands beside a full disk"
wait_for "a full disk is not logged" logged "$full" disk-full 1
submit --count 10 --prefix beside || fail "commands after a disk was full"
caught_up "$full" && fail "a voter with a full disk took part"
kill -0 "$(pid "$full")" || fail "a full disk ended a voter"
make_room "$full"
wait_for "a voter whose disk was full has not caught up" caught_up "$full"
logged "$full" disk-has-space 1 || fail "space is not logged"
logged "$full" disk-full 1 || fail "a full disk is logged more than once"

# Guards against the same when the disk has no space for the start.
kill -TERM "$(pid "$full")"
wait "$(pid "$full")" 2>/dev/null
starts=$(grep -c msg=start "$dir/$full.log")
FILES=32 start "$full"
wait_for "a start without disk space is not logged" logged "$full" disk-full 2
kill -0 "$(pid "$full")" || fail "a start without disk space ended"
[ "$(grep -c msg=start "$dir/$full.log")" = "$starts" ] ||
	fail "a start without disk space was logged as a start"
make_room "$full"
wait_for "a voter whose disk was full has not caught up" caught_up "$full"
logged "$full" disk-full 2 || fail "a start without disk space is logged more than once"
grep msg=folder-open "$dir/$full.log" | tail -1 | grep -q ' cut=0 ' ||
	fail "records after a full disk were read as torn"

# Guards against a planned stop of the leader that leaves no leader.
l=$(leader)
kill -TERM "$(pid "$l")"
wait "$(pid "$l")" || fail "the leader did not end cleanly"
wait_for "no leader after a planned stop" has_leader
start "$l"
wait_for "the stopped voter has not caught up" caught_up "$l"

# Guards against a voter that accepts commands after two of three were lost
# permanently. It must refuse until an operator accepts the loss, which the
# audit trail records; then the others join again.
applied || fail "no audit trail"
before=$(wc -l <"$dir/audit")
for n in a b c; do
	kill_node $n
done
rm -rf "$dir/b" "$dir/c"
start a
submit --count 1 --prefix lonely --timeout-ms 3000 2>/dev/null &&
	fail "a voter alone accepted a command"
kill_node a
start a --recover-alone accept-loss
wait "$(pid a)" || fail "recovery"
start a
start b
start c
wait_for "the recovered fleet does not have three voters" members 3
applied || fail "no audit trail after recovery"
[ "$(wc -l <"$dir/audit")" -ge "$before" ] || fail "the audit trail is shorter"
submit --count 10 --prefix after || fail "commands after recovery"
for n in a b c; do
	kill -TERM "$(pid $n)"
	wait "$(pid $n)" || fail "$n did not end cleanly"
done
grep -h "ERROR: \|runtime error" "$dir"/*.log && fail "a sanitizer reported an error"
echo ok
