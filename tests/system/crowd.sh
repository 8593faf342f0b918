# Functions for tests of clients that don't behave. Such a test starts a daemon
# anew for each crowd, lets the crowd settle and holds it open, and checks that
# the daemon lives, stays within its memory and its descriptors and answers one
# ordinary request, beside the crowd and after it. Nothing depends on the
# machine's speed. Sourced by a script that has set tmp; the daemons are built
# without sanitizers, which take several times the memory.

CROWD=${CROWD:-build/tests/crowd}
# Limits of the daemon under test.
CROWD_MEMORY_MB=64
CROWD_FILES=400
CROWD_FILES_KEPT=50
# Longest wait for anything that has no bound of its own, s.
CROWD_PATIENCE_S=60
# An ordinary client comes again so often after a refusal.
CROWD_TRIES=5
crowd_failed=0
crowd=start

# COMMAND...: repeats the command until it succeeds, or fails the test.
crowd_await() {
	until=$(($(date +%s) + CROWD_PATIENCE_S))
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -le "$until" ] || { crowd_bad "waited for: $*"; return 1; }
		sleep 0.1
	done
}

# MESSAGE: the crowd that is played has failed; the others are played all the same.
crowd_bad() {
	echo "FAIL $crowd: $*"
	crowd_failed=$((crowd_failed + 1))
}

# Fails the test if one of its crowds did.
crowd_verdict() {
	[ $crowd_failed = 0 ] || fail "$crowd_failed crowds"
}

# PID: prints the number of its open files.
crowd_files() {
	find "/proc/$1/fd" -type l 2>/dev/null | wc -l
}

# PID: prints the most memory it has had, KiB; nothing if it has ended.
crowd_peak_kib() {
	awk '$1 == "VmHWM:" { print $2 }' "/proc/$1/status" 2>/dev/null
}

# IP:PORT...: prints the bytes that wait unread at these addresses, KiB.
crowd_unread_kib() {
	for a in "$@"; do
		echo "$a" | tr ':.' '  ' | {
			read -r a b c d port
			printf '%02X%02X%02X%02X:%04X\n' "$d" "$c" "$b" "$a" "$port"
		}
	done >"$tmp/addrs"
	awk 'function hex(s,  i, n) {
		for (i = 1; i <= length(s); i++)
			n = n * 16 + index("0123456789ABCDEF", substr(s, i, 1)) - 1
		return n
	}
	NR == FNR { at[$1] = 1; next }
	$2 in at { split($5, queue, ":"); sum += hex(queue[2]) }
	END { printf "%d\n", sum / 1024 }' "$tmp/addrs" /proc/net/tcp
}

# What else an ordinary client asks for; a test may define it anew.
crowd_also() {
	true
}

# URL: whether an ordinary request is answered with 200, in CROWD_TRIES tries.
crowd_ordinary() {
	n=0
	while [ $n -lt $CROWD_TRIES ]; do
		[ "$(curl -s -o "$tmp/body" -w '%{http_code}' -L \
			-m "$CROWD_PATIENCE_S" "$1")" = 200 ] && crowd_also && return 0
		n=$((n + 1))
		sleep 1
	done
	return 1
}

# NAME: whether a process is in its place.
crowd_alive() {
	kill -0 "$(cat "$tmp/$1.pid")" 2>/dev/null
}

# NAME: ends a daemon and waits until its addresses are free.
crowd_stop() {
	kill -9 "$(cat "$tmp/$1.pid")" 2>/dev/null
	wait "$(cat "$tmp/$1.pid")" 2>/dev/null
	rm -f "$tmp/$1.pid"
}

crowd_is_settled() {
	grep -q '^settled' "$tmp/crowd.log"
}

# PID FILES: whether it has no more open files than that.
crowd_files_at_most() {
	[ "$(crowd_files "$1")" -le "$2" ]
}

crowd_end() {
	kill -9 "$(cat "$tmp/crowd.pid")" 2>/dev/null
	rm -f "$tmp/crowd.pid"
}

# NAME DAEMON URL ADDRESSES: checks a daemon that listens at these addresses
# beside a crowd that is settled; URL is asked for as an ordinary request.
crowd_check() {
	crowd=$1
	pid=$(cat "$tmp/$2.pid")
	crowd_alive "$2" || { crowd_bad "the daemon has ended"; return 1; }
	crowd_ordinary "$3" || crowd_bad "no ordinary answer beside it"
	# shellcheck disable=SC2086
	unread=$(crowd_unread_kib $4)
	peak=$(crowd_peak_kib "$pid")
	[ -n "$peak" ] || { crowd_bad "the daemon has ended"; return 1; }
	echo "$crowd: peak $((peak / 1024)) MiB, unread $((unread / 1024)) MiB," \
		"files $(crowd_files "$pid"); $(cat "$tmp/crowd.log")"
	[ $((peak + unread)) -le $((CROWD_MEMORY_MB * 1024)) ] ||
		crowd_bad "$((peak + unread)) KiB of $CROWD_MEMORY_MB MiB"
	crowd_files_at_most "$pid" $((CROWD_FILES - CROWD_FILES_KEPT)) ||
		crowd_bad "$(crowd_files "$pid") open files"
}

# NAME DAEMON URL ADDRESSES CROWD...: plays a crowd against a running daemon,
# and checks that it gets back to where it was once the crowd is gone.
crowd_play() {
	crowd=$1
	daemon=$2
	url=$3
	addresses=$4
	shift 4
	pid=$(cat "$tmp/$daemon.pid")
	crowd_await crowd_ordinary "$url"
	files=$(crowd_files "$pid")
	"$CROWD" "$@" >"$tmp/crowd.log" 2>&1 &
	echo $! >"$tmp/crowd.pid"
	crowd_await crowd_is_settled
	crowd_check "$crowd" "$daemon" "$url" "$addresses" || {
		crowd_end
		return
	}
	crowd_end
	crowd_await crowd_files_at_most "$pid" $((files + 8))
	crowd_ordinary "$url" || crowd_bad "no ordinary answer after it"
	crowd_alive "$daemon" || crowd_bad "the daemon has ended after it"
}
