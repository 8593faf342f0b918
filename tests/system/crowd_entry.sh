# An entry daemon of a fleet that runs jobs, for tests of clients that don't
# behave. Sourced by a script that has set JOBS_PORT.

BIN=${BIN:-build/bin}
tmp=$(mktemp -d)
. "$(dirname "$0")/jobs.sh"
. "$(dirname "$0")/crowd.sh"
jobs_entry_bounds="memory-mb = $CROWD_MEMORY_MB
descriptors = $CROWD_FILES
descriptors-kept = $CROWD_FILES_KEPT"
entry_ready=127.0.0.4:$((callers + 1))
entry_metrics=127.0.0.4:$metrics

# NAME URL CROWD...: plays a crowd against a new entry daemon.
entry_crowd() {
	title=$1
	url=$2
	shift 2
	crowd_stop e4
	jobs_entry 4
	crowd_play "$title" e4 "$url" "$entries $entry_ready $entry_metrics" "$@"
}

jobs_fleet || fail "configuration"
