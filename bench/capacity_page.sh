#!/bin/sh
# capacity_page.sh FITS PAGE: works the fitted slopes out at the two-year size
# and rewrites the part of the page between its two marks.
set -eu
fits=$1
page=$2
tmp=$(mktemp)
trap 'rm -f "$tmp"' EXIT

awk -F '\t' -v cores="$(nproc)" '
# What the letter and the issue state.
BEGIN {
	VMS = 9200; ZONES = 16; CHANGES = 34000 / 86400
	LIMIT_BYTES = 3000; LIMIT_CPU = 4.4; LIMIT_MB = 64
	# Assumed: 30 entry VMs a zone, as issue 4 has it; a small command.
	ENTRIES = 30; COMMAND_BYTES = 200
	TARGETS = VMS / ZONES; HOME = TARGETS / ENTRIES
	NEAR = ENTRIES - 1; AWAY = (ZONES - 1) * ENTRIES
}
NR == 1 { next }
{
	order[++n] = $1; count[$1] = $2; slope[$1] = $3; base[$1] = $4
	r2[$1] = $5; worst[$1] = $6; power[$1] = $7
}

function at(m, x) { return base[m] + slope[m] * x }
function has(m) { return m in slope }
function num(v) {
	if (v >= 100 || v <= -100 || v == 0) return sprintf("%.0f", v)
	if (v >= 1 || v <= -1) return sprintf("%.2f", v)
	return sprintf("%.4f", v)
}

# What x counts, and the command behind a measure.
function about(m) {
	if (m ~ /^decision/) return "targets|capacity_probe"
	if (m ~ /^entry_(home|other)/) return "targets|capacity.sh, measure_targets"
	if (m ~ /^entry_mesh/) return "neighbours in the zone|capacity.sh, measure_neighbours"
	if (m ~ /^entry_away/) return "neighbours in other zones|capacity.sh, measure_neighbours"
	if (m ~ /^entry_view/) return "VMs in the view, 2 changes/s|capacity.sh, measure_changes"
	if (m ~ /^entry_gossip/) return "neighbours, 2 changes/s of 575 VMs|capacity.sh, measure_changes"
	if (m ~ /^voter_followers/) return "followers|capacity.sh, measure_voter"
	if (m ~ /^voter/) return "VMs|capacity.sh, measure_voter"
	return "VMs of the fleet|capacity_probe"
}

function row(what, how, value, unit, limit, mechanism,   verdict) {
	verdict = "-"
	if (limit > 0) verdict = value > limit ? sprintf("**over, %.1f times**", value / limit) : sprintf("%.0f %%", 100 * value / limit)
	printf "| %s | %s | %s %s | %s | %s |\n", what, how, num(value), unit, verdict, mechanism
}

function head() {
	print "| what | worked out from | at the two-year size | of the limit | carried by |"
	print "| --- | --- | --- | --- | --- |"
}

function breaks(what, x, unit, where) {
	printf "| %s | %s %s | %s |\n", what, num(x), unit, where
}

END {
	print "### Slopes\n"
	printf "Measured by `make capacity` on one machine of %d cores, all processes on\n", cores
	print "loopback. R² is the part of the variance that the line explains, worst the"
	print "largest distance of a point from it as part of the largest point, power the"
	print "exponent of a power law (far from 1 where the intercept is large). A slope"
	print "whose R² is low is noise around a level: the measure does not grow.\n"
	print "| measure | by | points | slope | intercept | R² | worst | power | command |"
	print "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
	for (i = 1; i <= n; i++) {
		m = order[i]
		split(about(m), a, "|")
		printf "| `%s` | %s | %d | %.4g | %.4g | %.3f | %.1f %% | %.2f | %s |\n", m, a[1], count[m], slope[m], base[m], r2[m], 100 * worst[m], power[m], a[2]
	}

	per_vm = slope["entry_view_bytes_per_s"] / 2
	views = slope["entry_gossip_bytes_per_s"] / 2 / (per_vm * 575)
	view = at("view_zone_bytes", VMS)
	gossip = CHANGES * view * views * (NEAR + AWAY)
	b_home = slope["entry_home_bytes_per_s"] * HOME
	b_near = slope["entry_mesh_bytes_per_s"] * NEAR
	b_away = slope["entry_away_bytes_per_s"] * AWAY
	b_view = CHANGES * view
	c_idle = base["entry_home_cpu_percent"]
	c_home = slope["entry_home_cpu_percent"] * HOME
	c_near = slope["entry_mesh_cpu_percent"] * NEAR
	c_away = slope["entry_away_cpu_percent"] * AWAY
	c_view = CHANGES * at("view_read_us", VMS) / 1e4
	m_all = (base["entry_home_rss_kb"] + slope["entry_home_rss_kb"] * HOME + slope["entry_other_rss_kb"] * TARGETS + slope["entry_mesh_rss_kb"] * NEAR + slope["entry_away_rss_kb"] * AWAY + at("view_heap_bytes", VMS) / 1024) / 1024

	print "\n### Entry daemon\n"
	head()
	row("bytes: targets that have it as home", "slope × " num(HOME) " targets", b_home, "B/s", LIMIT_BYTES, "announcements over HTTP each 650 ms")
	row("bytes: neighbours in its zone", "slope × " NEAR, b_near, "B/s", LIMIT_BYTES, "heartbeats of the wire")
	row("bytes: entry daemons of other zones", "slope × " AWAY, b_away, "B/s", LIMIT_BYTES, "heartbeats, room of each pool twice a second")
	row("bytes: a change, from one voter", num(CHANGES) " changes/s × " num(view) " B", b_view, "B/s", LIMIT_BYTES, "if the whole view goes; what changed alone is not measured")
	row("bytes: a change, among neighbours", "× " num(views) " views a neighbour × " (NEAR + AWAY), gossip, "B/s", LIMIT_BYTES, "if whole views go: each passes a newer one to all that lack it")
	row("bytes, all", "sum", b_home + b_near + b_away + b_view + gossip, "B/s", LIMIT_BYTES, "")
	row("processor: idle", "intercept", c_idle, "%", LIMIT_CPU, "timers")
	row("processor: targets, neighbours, other zones", "slopes × " num(HOME) ", " NEAR ", " AWAY, c_home + c_near + c_away, "%", LIMIT_CPU, "as above")
	row("processor: reading a view for each change", num(CHANGES) "/s × " num(at("view_read_us", VMS)) " µs", c_view, "%", LIMIT_CPU, "one view a change; the neighbours'"'"' copies are not in it")
	row("processor, all", "sum", c_idle + c_home + c_near + c_away + c_view, "%", LIMIT_CPU, "")
	row("memory", "intercept and slopes, view", m_all, "MB", LIMIT_MB, "target table, a connection for each neighbour and home target")
	row("state: view of the zone", "`view_zone_bytes`", view, "B", 0, "memory only; a copy at each neighbour")
	row("one decision", "`decision_us` at " num(TARGETS) " targets", at("decision_us", TARGETS), "µs", 2, "two choices; does not grow with the targets")

	print "\n### Entry daemon today\n"
	print "9 entry VMs in 3 zones, 50 targets, without changes.\n"
	head()
	b_today = slope["entry_home_bytes_per_s"] * 50 / 9 + slope["entry_mesh_bytes_per_s"] * 2 + slope["entry_away_bytes_per_s"] * 6
	row("bytes: targets that have it as home", "slope × " num(50 / 9), slope["entry_home_bytes_per_s"] * 50 / 9, "B/s", LIMIT_BYTES, "announcements")
	row("bytes, all", "and slopes × 2 and 6 neighbours", b_today, "B/s", LIMIT_BYTES, "")

	v_cpu = CHANGES * (at("command_us", VMS) + ZONES * at("view_make_us", VMS)) / 1e4
	print "\n### Voter\n"
	head()
	row("state in memory", "`state_heap_bytes`", at("state_heap_bytes", VMS) / 1048576, "MB", LIMIT_MB, "fleet state")
	row("state on disk: snapshot", "`snapshot_bytes`", at("snapshot_bytes", VMS) / 1048576, "MB", 0, "data folder; the log beside it is not measured")
	row("processor: commands", num(CHANGES) "/s × " num(at("command_us", VMS)) " µs", CHANGES * at("command_us", VMS) / 1e4, "%", LIMIT_CPU, "fleet state; consensus and sync not measured")
	row("processor: a view for each zone", "× " ZONES " × " num(at("view_make_us", VMS)) " µs", v_cpu, "%", LIMIT_CPU, "one view a zone and change, if made once a zone")
	row("processor: a view for each follower", "× " ZONES * ENTRIES " instead", v_cpu / ZONES * ZONES * ENTRIES, "%", LIMIT_CPU, "if made once a follower")
	row("processor: whole configurations", num(CHANGES) "/s × " num(at("config_apply_us", VMS)) " µs", CHANGES * at("config_apply_us", VMS) / 1e4, "%", LIMIT_CPU, "if each change applies the whole text")
	row("bytes in: small commands", num(CHANGES) "/s × " COMMAND_BYTES " B (assumed)", CHANGES * COMMAND_BYTES, "B/s", LIMIT_BYTES, "drain, move, priority")
	row("bytes in: whole configurations", num(CHANGES) "/s × " num(at("config_text_bytes", VMS)) " B", CHANGES * at("config_text_bytes", VMS), "B/s", LIMIT_BYTES, "base file and overlays in each apply")
	row("bytes out: views to " ZONES * ENTRIES " followers", num(CHANGES) "/s × " num(view) " B × " ZONES * ENTRIES, CHANGES * view * ZONES * ENTRIES, "B/s", LIMIT_BYTES, "if whole views go; each entry daemon follows the voters")
	if (has("voter_cpu_percent")) {
		row("processor of the process, idle", "`voter_cpu_percent`", at("voter_cpu_percent", VMS), "%", LIMIT_CPU, "")
		row("memory of the process", "`voter_rss_kb`", at("voter_rss_kb", VMS) / 1024, "MB", LIMIT_MB, "")
	} else
		print "| the process: consensus, log, sync | - | not measured | - | not on main when this ran |"
	if (has("voter_followers_cpu_percent")) {
		row("processor by followers", "slope × " ZONES * ENTRIES, slope["voter_followers_cpu_percent"] * ZONES * ENTRIES, "%", LIMIT_CPU, "")
		row("bytes by followers, idle", "slope × " ZONES * ENTRIES, slope["voter_followers_bytes_per_s"] * ZONES * ENTRIES, "B/s", LIMIT_BYTES, "heartbeats of the wire")
	}

	print "\n### Operator'"'"'s client, balancer, platform, targets\n"
	head()
	row("client: an apply of the whole text", "`config_text_bytes`", at("config_text_bytes", VMS) / 1024, "KB", 0, "one request; the client keeps nothing")
	row("target: announcements", "`entry_home_bytes_per_s`, both directions", slope["entry_home_bytes_per_s"], "B/s", LIMIT_BYTES, "1.54 a second (650 ms) to its home only")
	row("balancer: health checks", ZONES * ENTRIES " entry VMs × 1/s (assumed)", ZONES * ENTRIES, "requests/s", 0, "GET /health")
	print "| platform: leases, usage, reboots | - | not measured | - | not built |"

	print "\n### Where it breaks first\n"
	print "Each alone, the others left out; \"changes\" are always 34,000 a day.\n"
	print "| limit | is reached at | mechanism that must change |"
	print "| --- | --- | --- |"
	breaks("3 KB/s, view passed on among neighbours", LIMIT_BYTES / (CHANGES * view * views), "neighbours, with 9,200 VMs", "pass on what changed, and to those only that ask")
	breaks("3 KB/s, announcements", LIMIT_BYTES / slope["entry_home_bytes_per_s"], "targets an entry VM", "fewer and shorter renewals; answers renew too")
	breaks("3 KB/s, entry daemons of other zones", LIMIT_BYTES / slope["entry_away_bytes_per_s"], "of them", "one speaker a zone, not all to all")
	breaks("3 KB/s, whole configuration for each change", LIMIT_BYTES / CHANGES / slope["config_text_bytes"], "VMs", "send what changed of the text")
	breaks("3 KB/s, view of the zone from one voter", LIMIT_BYTES / CHANGES / slope["view_zone_bytes"], "VMs in " ZONES " zones", "send what changed of the view")
	breaks("3 KB/s, neighbours in the zone", LIMIT_BYTES / slope["entry_mesh_bytes_per_s"], "of them", "none needed at " ENTRIES " a zone, but it leaves " num(LIMIT_BYTES - b_near) " B/s for all else")
	breaks("4.4 % of a core, entry daemons of other zones", (LIMIT_CPU - c_idle) / slope["entry_away_cpu_percent"], "of them", "as above")
	breaks("4.4 % of a core, home targets", (LIMIT_CPU - c_idle) / slope["entry_home_cpu_percent"], "targets an entry VM", "none needed")
	breaks("4.4 % of a core, views made by a voter", LIMIT_CPU * 1e4 / CHANGES / at("view_make_us", VMS), "views a change, with 9,200 VMs", "make a view once a zone, not once a follower")
	breaks("64 MB, home targets", (LIMIT_MB * 1024 - base["entry_home_rss_kb"]) / slope["entry_home_rss_kb"], "targets an entry VM", "none needed")
}' "$fits" >"$tmp"

awk -v new="$tmp" '
/^<!-- figures: begin/ { print; while ((getline line < new) > 0) print line; skip = 1 }
/^<!-- figures: end/ { skip = 0 }
!skip { if (!/^<!-- figures: begin/) print }
' "$page" >"$tmp.page"
mv "$tmp.page" "$page"
