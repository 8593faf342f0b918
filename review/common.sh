# Functions for the scripts of the cases: a small deployment on loopback. Three
# machines of the core and two of the front run the programs of the deploy
# file, each at an address of its own, and the minions of one service stand in
# for servers. Sourced by a script that has set `here`, its folder. Writes what
# is sent, answered and run to record.txt, and ends all that it started.

root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
gated=target/bin/endive-gated
schedd=target/bin/endive-schedd
standins=target/review
TROUBLE=${TROUBLE:-1}
tmp=$(mktemp -d) || exit 2
record=$here/record.txt
: >"$record"
a=$((20 + $$ % 200))
b=$((2 * ($$ / 200 % 120)))
net=127.$a.$b
minions=127.$a.$((b + 1))
wire=7060
control=7061
callers=7062
ready=7063
orders=7070
seeds=$net.1:$control,$net.2:$control,$net.3:$control
host=pule25.example
service=puxa400
began=$(date +%s%N)

# Ends what was started and leaves.
finish() {
	for f in "$tmp"/*.pid; do
		[ -f "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -9 "$(cat "$f")" 2>/dev/null
	done
	for f in "$tmp"/*.pid; do
		[ -f "$f" ] && wait "$(cat "$f")" 2>/dev/null
	done
	if [ -f "$tmp/minions.out" ]; then
		echo "== what the minions saw (ms since their start, minion, event, work unit)" >>"$record"
		cat "$tmp/minions.out" >>"$record"
	fi
	[ -n "${KEEP:-}" ] && cp -r "$tmp" "$KEEP"
	rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' HUP INT PIPE TERM

# TEXT...: a line of the record, with the time.
note() {
	echo "$((($(date +%s%N) - began) / 1000000)) ms: $*" >>"$record"
}

# TEXT...: the case could not run.
cannot() {
	note "could not run: $*"
	echo "could not run: $*"
	exit 2
}

# TEXT...: the rule was broken.
broken() {
	note "BROKEN: $*"
	echo "BROKEN: $*"
	exit 1
}

# TEXT...: the rule held.
held() {
	note "HELD: $*"
	echo "HELD: $*"
	exit 0
}

# NAME COMMAND...: runs a program in the background.
run() {
	name=$1
	shift
	"$@" >>"$tmp/$name.out" 2>&1 &
	echo $! >"$tmp/$name.pid"
}

# NAME: its process id.
pid() {
	cat "$tmp/$1.pid"
}

# NO BOOTSTRAP: starts the machine coreNO.
core() {
	mkdir -p "$tmp/data$1"
	cat >"$tmp/core$1.conf" <<-EOF
	[node]
	name = core-$1
	zone = z$1
	wire = $net.$1:$wire
	control = $net.$1:$control
	metrics = $net.$1:9464
	data = $tmp/data$1
	vms =
	orders = invoke
	seeds = $seeds
	bootstrap = $2
	open-network = true
	log-level = info

	[bounds]
	losses = 1
	hold-max-ms = ${hold_max:-10000}
	vm-lease-ms = 3000
	keep-s = 120
	grace-s = 6
	memory-mb = 256
	descriptors = 4096
	descriptors-kept = 200
	EOF
	ENDIVESLIP_CONFIG=$tmp/core$1.conf run "core$1" "$schedd"
}

# NO: starts the machine frontNO, at the address NO + 3.
front() {
	cat >"$tmp/front$1.conf" <<-EOF
	[node]
	name = front-$1
	zone = z$1
	wire = $net.$(($1 + 3)):$wire
	callers = $net.$(($1 + 3)):$callers
	ready = $net.$(($1 + 3)):$ready
	metrics = $net.$(($1 + 3)):9464
	seeds = $seeds
	open-network = true
	log-level = info

	[bounds]
	losses = 1
	keep-s = 120
	grace-s = 6
	memory-mb = 260
	descriptors = 4100
	descriptors-kept = 200
	EOF
	ENDIVESLIP_CONFIG=$tmp/front$1.conf run "front$1" "$gated"
}

# WORDS...: makes a call, notes it with its answer, and prints the answer.
call() {
	answer=$("$standins/caller" "$@")
	note "$* -> $answer"
	echo "$answer"
}

# WORDS...: makes a call of a consumer at the first machine of the front.
consumer() {
	verb=$1
	shift
	call "$verb" "$net.4:$callers" "$host" "$@"
}

# VERSION ROUTES ATTEMPTS: sends a configuration until it is acknowledged.
configure() {
	tries=0
	while [ $tries -lt 60 ]; do
		n=$((tries % 3 + 1))
		case $(call config "$net.$n:$control" "$host" "$1" "$service" \
			"$2" "$3") in
		200*) return 0 ;;
		esac
		tries=$((tries + 1))
		sleep 0.2
	done
	cannot "configuration $1 was not acknowledged"
}

# [FLAG...]: starts the deployment with these flags for the minions.
deployment() {
	for p in "$gated" "$schedd" "$standins/minions" "$standins/caller"; do
		[ -x "$p" ] || cannot "$p is not built"
	done
	note "TROUBLE=$TROUBLE minions: $*"
	for n in 1 2 3; do core $n true; done
	for n in 1 2; do front $n; done
	run minions "$standins/minions" --pool "$service" --net "$minions" \
		--port $orders --control "$seeds" "$@"
	configure 1 "$service" "${attempts:-4}"
	tries=0
	until [ "$(curl_ready)" = 1 ]; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || cannot "no machine of the front is ready"
		sleep 0.1
	done
	sleep 1.5
}

# Prints 1 once the first machine of the front takes requests.
curl_ready() {
	case $("$standins/caller" get "$net.4:$ready" x /v1/readiness) in
	200*) echo 1 ;;
	*) echo 0 ;;
	esac
}

# PATTERN: how many lines of the minions match.
seen() {
	grep -c -E "$1" "$tmp/minions.out"
}

# PATTERN SECONDS: waits until a line of the minions matches.
await() {
	tries=0
	until grep -q -E "$1" "$tmp/minions.out"; do
		tries=$((tries + 1))
		[ $tries -lt $(($2 * 20)) ] || return 1
		sleep 0.05
	done
}

# Does what the platform does: starts each machine of the core whose process
# has ended again after a short delay, with its disk. Counts the ends in
# `ended`.
ended=0
mind() {
	for n in 1 2 3; do
		kill -0 "$(pid core$n)" 2>/dev/null && continue
		wait "$(pid core$n)" 2>/dev/null
		note "the process of core$n ended by itself, status $?"
		ended=$((ended + 1))
		sleep 0.3
		core $n false
	done
}
