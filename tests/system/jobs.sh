# Functions for tests of a fleet that runs jobs, on loopback: three control
# daemons, an entry daemon and four stand-in workers. Each control daemon has
# its own address, as the fleet's own processes use the same port on all VMs.
# Sourced by a script that has set BIN, tmp and JOBS_PORT. Kills all processes
# it started on every exit.

wire=$JOBS_PORT
control=$((JOBS_PORT + 1))
callers=$((JOBS_PORT + 2))
metrics=$((JOBS_PORT + 4))
seeds=127.0.0.1:$control,127.0.0.2:$control,127.0.0.3:$control
entries=127.0.0.4:$callers

jobs_end() {
	for f in "$tmp"/*.pid; do
		[ -f "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -9 "$(cat "$f")" 2>/dev/null
		rm -f "$f"
	done
}
trap 'jobs_end; rm -rf "$tmp"' EXIT
trap 'exit 1' HUP INT PIPE TERM

# MESSAGE: fails the test and prints the last lines of all logs, those of the
# daemons last.
fail() {
	echo "FAIL: $*"
	for f in "$tmp"/w*.log "$tmp"/[!w]*.log; do
		echo "== $f"
		tail -n 5 "$f"
	done
	exit 1
}

# Fails unless each completed task was done once, over all workers.
done_once() {
	twice=$(cat "$tmp"/w*.log | grep '^done ' | cut -d' ' -f2 | sort |
		uniq -d)
	[ -z "$twice" ] || fail "tasks done twice: $twice"
}

# NAME COMMAND...: runs the command in the background, with its output in
# NAME.log and its process id in NAME.pid.
jobs_run() {
	name=$1
	shift
	"$@" >>"$tmp/$name.log" 2>&1 &
	echo $! >"$tmp/$name.pid"
}

# NAME: prints the process id.
jobs_pid() {
	cat "$tmp/$1.pid"
}

# NO BOOTSTRAP: starts control daemon cNO at 127.0.0.NO.
jobs_control() {
	mkdir -p "$tmp/data$1"
	cat >"$tmp/c$1.conf" <<-EOF
	[node]
	name = c$1
	zone = z$1
	wire = 127.0.0.$1:$wire
	control = 127.0.0.$1:$control
	metrics = 127.0.0.$1:$metrics
	data = $tmp/data$1
	seeds = $seeds
	bootstrap = $2
	advice = ${jobs_advice:-}
	orders = ${jobs_orders:-}
	open-network = true
	log-level = info
	[bounds]
	carry-from = ${jobs_carry_from:-150}
	${jobs_control_bounds:-}
	EOF
	jobs_run "c$1" "$BIN/endive-schedd" --settings "$tmp/c$1.conf"
}

# NO: starts entry daemon eNO at 127.0.0.NO.
jobs_entry() {
	cat >"$tmp/e$1.conf" <<-EOF
	[node]
	name = e$1
	zone = z1
	wire = 127.0.0.$1:$wire
	callers = 127.0.0.$1:$callers
	ready = 127.0.0.$1:$((callers + 1))
	metrics = 127.0.0.$1:$metrics
	seeds = $seeds
	open-network = true
	log-level = info
	[bounds]
	${jobs_entry_bounds:-}
	EOF
	jobs_run "e$1" "$BIN/endive-gated" --settings "$tmp/e$1.conf"
}

# NO METRIC: prints the value of the metric on the daemon at 127.0.0.NO.
jobs_metric() {
	curl -s "http://127.0.0.$1:$metrics/metrics" |
		awk -v name="$2" '$1 == name { print $2 }'
}

# NO [FLAG...]: starts worker wNO.
jobs_worker() {
	no=$1
	shift
	jobs_run "w$no" "$BIN/endive-worker" --id "w$no" --pool p \
		--listen "127.0.0.1$no:$callers" --control "$seeds" \
		--seed "$no" "$@"
}

# [FLAG...]: starts the stand-in advice service.
jobs_advice_service() {
	jobs_run advice "$BIN/endive-advice" \
		--listen "127.0.0.5:$callers" "$@"
}

# [FLAG...]: starts the fleet, with these flags for the workers, and applies its
# configuration.
jobs_fleet() {
	for n in 1 2 3; do jobs_control $n true; done
	jobs_entry 4
	for n in 0 1 2 3; do jobs_worker $n "$@"; done
	"$BIN/endive-job" --to "$seeds" --apply 1 --pools p --host 127.0.0.4 \
		--advised "${jobs_advised:-0}"
}

# Prints the number of the control daemon that leads by its log; waits up to
# 10 s for one.
jobs_leader() {
	tries=0
	while [ $tries -lt 100 ]; do
		for n in 1 2 3; do
			[ -f "$tmp/c$n.pid" ] || continue
			last=$(grep -E 'msg=(lead|lead-over) ' "$tmp/c$n.log" |
				tail -1)
			case $last in
			*msg=lead\ *) echo "$n" && return ;;
			esac
		done
		tries=$((tries + 1))
		sleep 0.1
	done
	return 1
}
