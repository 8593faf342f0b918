# Functions for the scripts of review/9 to review/13: a fleet on loopback that
# runs the daemons with the commands of the deploy file, with the settings of a
# small deployment. Three control daemons (127.0.0.1 to .3), two entry daemons
# (127.0.0.4 and .5) and workers (127.0.0.11 and on). Sourced by a script that
# has set CASE to its folder. Ends all processes that it started on every exit.

cd "$CASE/../.." || exit 2
BIN=target/bin
TROUBLE=${TROUBLE:-1}
record=$CASE/record.txt
for p in endive-schedd endive-gated endive-worker endive-job review-call \
	review-many_routes review-platform; do
	[ -x "$BIN/$p" ] || { echo "not built: $p"; exit 2; }
done
tmp=$(mktemp -d) || exit 2

# Background functions of a script end by themselves once $tmp/stop is there.
end_all() {
	: >"$tmp/stop"
	for f in "$tmp"/*.pid; do
		[ -f "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -9 "$(cat "$f")" 2>/dev/null
		rm -f "$f"
	done
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap end_all EXIT
trap 'exit 2' HUP INT PIPE TERM

# Picks six ports in a row of which none is in use on any address, below those
# that the kernel gives to clients.
free_ports() {
	try=0
	while [ $try -lt 50 ]; do
		base=$((24000 + ($$ * 7 + try * 641) % 8000))
		busy=0
		for i in 0 1 2 3 4 5; do
			hex=$(printf ':%04X ' $((base + i)))
			grep -q "$hex" /proc/net/tcp && busy=1
		done
		[ $busy = 0 ] && return 0
		try=$((try + 1))
	done
	return 1
}
free_ports || exit 2
wire=$base
control=$((base + 1))
callers=$((base + 2))
ready=$((base + 3))
metrics=$((base + 4))
worker=$((base + 5))
controls=127.0.0.1:$control,127.0.0.2:$control,127.0.0.3:$control
# The control daemons' addresses for the fleet's own processes.
seeds=127.0.0.1:$control,127.0.0.2:$control,127.0.0.3:$control
# The callers know the queue by the address of the first entry daemon.
entries=127.0.0.4:$callers

began=$(date +%s%N)
# TEXT: writes a line with the time since the start, ms, into the record.
note() {
	echo "$((($(date +%s%N) - began) / 1000000)) ms  $*" | tee -a "$record"
}
: >"$record"

# NAME COMMAND...: runs the command in the background.
start() {
	name=$1
	shift
	"$@" >>"$tmp/$name.log" 2>&1 &
	echo $! >"$tmp/$name.pid"
}

# NAME SIGNAL
signal() {
	kill "-$2" "$(cat "$tmp/$1.pid")"
}

# NAME: kills a process that was started.
kill_hard() {
	kill -9 "$(cat "$tmp/$1.pid")" 2>/dev/null
	wait "$(cat "$tmp/$1.pid")" 2>/dev/null
	rm -f "$tmp/$1.pid"
}

bounds() {
	cat <<-EOF
	[bounds]
	losses = 1
	hold-max-ms = 10000
	vm-lease-ms = 3000
	keep-s = 120
	grace-s = 6
	memory-mb = 256
	descriptors = 4096
	descriptors-kept = 200
	EOF
}

# NO BOOTSTRAP: starts control daemon cNO at 127.0.0.NO, whose seeds are $seeds.
start_control() {
	mkdir -p "$tmp/data$1"
	{
		cat <<-EOF
		[node]
		name = c$1
		zone = hall-$1
		wire = 127.0.0.$1:$wire
		control = 127.0.0.$1:$control
		metrics = 127.0.0.$1:$metrics
		data = $tmp/data$1
		seeds = $seeds
		bootstrap = $2
		orders = invoke
		vms = ${vms:-}
		open-network = true
		log-level = info
		EOF
		bounds
	} >"$tmp/c$1.conf"
	start "c$1" env "ENDIVESLIP_CONFIG=$tmp/c$1.conf" "$BIN/endive-schedd"
}

# NO: starts entry daemon eNO at 127.0.0.NO.
start_entry() {
	{
		cat <<-EOF
		[node]
		name = e$1
		zone = hall-1
		wire = 127.0.0.$1:$wire
		callers = 127.0.0.$1:$callers
		ready = 127.0.0.$1:$ready
		metrics = 127.0.0.$1:$metrics
		seeds = $seeds
		bootstrap = true
		orders = invoke
		vms = ${vms:-}
		open-network = true
		log-level = info
		EOF
		bounds
	} >"$tmp/e$1.conf"
	start "e$1" env "ENDIVESLIP_CONFIG=$tmp/e$1.conf" "$BIN/endive-gated"
}

# NO ID [FLAG...]: starts a worker of that id at 127.0.0.NO.
start_worker() {
	no=$1
	id=$2
	shift 2
	start "w$no" "$BIN/endive-worker" --id "$id" --pool p \
		--listen "127.0.0.$no:$worker" --control "$controls" \
		--zone hall-1 \
		--seed "$no" "$@"
}

# Prints the number of the control daemon that leads, by its log.
leader() {
	try=0
	while [ $try -lt 100 ]; do
		for n in 1 2 3; do
			[ -f "$tmp/c$n.pid" ] || continue
			case $(grep -aE 'msg=(lead|lead-over) ' "$tmp/c$n.log" | tail -1) in
			*msg=lead\ *) echo "$n" && return 0 ;;
			esac
		done
		try=$((try + 1))
		sleep 0.1
	done
	return 1
}

# METHOD IP:PORT PATH TIMEOUT_MS [HOST [FILE]]: prints status and body.
call() {
	"$BIN/review-call" "$@"
}

# FILE: applies a configuration; ends the script if that doesn't work in 20 s.
apply_first() {
	try=0
	while :; do
		for n in 1 2 3; do
			case $(call PUT "127.0.0.$n:$control" /v1/config 2000 \
				"127.0.0.$n" "$1") in
			200*) return 0 ;;
			esac
		done
		sleep 0.2
		try=$((try + 1))
		[ $try -lt 40 ] || { note "no configuration was taken"; exit 2; }
	done
}
