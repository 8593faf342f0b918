#include "msg.h"

#include <event2/event.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* A message: its level and its name, which no two share. */
struct msg_def {
	enum msg_level level;
	const char *name;
};

static const char *msg_layout(const log4c_layout_t *layout,
			      const log4c_logging_event_t *ev);
static int msg_append(log4c_appender_t *app, const log4c_logging_event_t *ev);
static void msg_take(const char *file, int line, enum msg_id id,
		     const char *job, enum msg_keep keep, const char *fmt,
		     va_list ap) G_GNUC_PRINTF(6, 0);
static void msg_write(const char *file, int line, enum msg_id id,
		      const char *text);
static void msg_never_wait(void);
static void msg_of_libevent(int severity, const char *text);

static const struct msg_def msg_table[MSG_MAX] = {
	/* all daemons */
	[MSG_START] = {MSG_NOTICE, "start"},
	[MSG_STOP] = {MSG_NOTICE, "stop"},
	[MSG_SUPPRESSED] = {MSG_WARN, "suppressed"},
	[MSG_LIBEVENT] = {MSG_WARN, "libevent"},
	[MSG_ACC_FAILED] = {MSG_WARN, "accept-failed"},
	/* wire: connections between own processes */
	[MSG_WIRE_UP] = {MSG_INFO, "wire-up"},
	[MSG_WIRE_DOWN] = {MSG_INFO, "wire-down"},
	[MSG_WIRE_REFUSED] = {MSG_WARN, "wire-refused"},
	/* ent, tgt: entry daemon and target table */
	[MSG_REQ] = {MSG_DEBUG, "request"},
	[MSG_TGT_JOIN] = {MSG_INFO, "target-join"},
	[MSG_TGT_LEAVE] = {MSG_INFO, "target-leave"},
	[MSG_TGT_LAPSE] = {MSG_WARN, "target-lapse"},
	[MSG_ENT_CONFIG] = {MSG_NOTICE, "config-in-force"},
	[MSG_ENT_CONFIG_BAD] = {MSG_ERROR, "config-not-a-view"},
	[MSG_ENT_PEER_BAD] = {MSG_ERROR, "peer-message-not-read"},
	[MSG_ENT_DRAIN] = {MSG_NOTICE, "drain"},
	/* idm: idempotency keys */
	/* ctl: control daemon */
	[MSG_CTL_ROLE] = {MSG_NOTICE, "voter-role"},
	[MSG_CTL_MEMBER] = {MSG_NOTICE, "voter-member"},
	[MSG_REP_LEADERLESS] = {MSG_WARN, "voter-leaderless"},
	[MSG_REP_OUTSIDE] = {MSG_INFO, "voter-outside"},
	[MSG_REP_LEARNER] = {MSG_NOTICE, "voter-waits"},
	[MSG_CTL_FOREIGN] = {MSG_ERROR, "voter-foreign"},
	[MSG_CTL_RECOVERED] = {MSG_WARN, "voter-recovered"},
	/* cns, sto: consensus and data folder */
	[MSG_STO_OPEN] = {MSG_NOTICE, "folder-open"},
	[MSG_STO_DAMAGED] = {MSG_ERROR, "folder-damaged"},
	[MSG_STO_FAILED] = {MSG_ERROR, "folder-failed"},
	[MSG_STO_FULL] = {MSG_ERROR, "disk-full"},
	[MSG_STO_SPACE] = {MSG_NOTICE, "disk-has-space"},
	/* cfg, fst: configuration and fleet state */
	[MSG_FST_OTHER_ZONE] = {MSG_WARN, "entry-of-other-zone"},
	/* pln, wav, job: planner, waves, jobs */
	/* hub, jtb: jobs and what is decided on them */
	[MSG_HUB_LEAD] = {MSG_NOTICE, "lead"},
	[MSG_HUB_REST] = {MSG_NOTICE, "lead-over"},
	[MSG_HUB_JOB] = {MSG_NOTICE, "job-accepted"},
	[MSG_HUB_START] = {MSG_INFO, "run-started"},
	[MSG_HUB_END] = {MSG_INFO, "run-ended"},
	[MSG_HUB_LATE_END] = {MSG_NOTICE, "late-end"},
	[MSG_HUB_STOP] = {MSG_NOTICE, "stop-run"},
	[MSG_HUB_CANCEL] = {MSG_NOTICE, "cancel"},
	[MSG_HUB_JOB_END] = {MSG_NOTICE, "job-ended"},
	[MSG_HUB_CONFIG] = {MSG_NOTICE, "config-accepted"},
	[MSG_HUB_KEY_REFUSED] = {MSG_NOTICE, "key-refused"},
	[MSG_HUB_NEVER_FITS] = {MSG_NOTICE, "job-over-limit"},
	[MSG_HUB_OVERRIDE] = {MSG_NOTICE, "override"},
	[MSG_HUB_NO_ROOM] = {MSG_NOTICE, "job-refused"},
	[MSG_HUB_WORKER] = {MSG_NOTICE, "worker"},
	[MSG_HUB_WORKER_GONE] = {MSG_NOTICE, "worker-gone"},
	[MSG_HUB_WAVE] = {MSG_NOTICE, "wave"},
	[MSG_HUB_VM] = {MSG_NOTICE, "vm-order"},
	[MSG_VMS_SENT] = {MSG_INFO, "vm-order-sent"},
	[MSG_VMS_DROPPED] = {MSG_NOTICE, "vm-order-dropped"},
	[MSG_UPS_TOO_LONG] = {MSG_NOTICE, "answer-too-long"},
	[MSG_HUB_ODD] = {MSG_WARN, "not-understood"},
	[MSG_HUB_POOL] = {MSG_INFO, "pool"},
	[MSG_HUB_SHARES] = {MSG_INFO, "shares"},
	[MSG_HUB_PREEMPTED] = {MSG_NOTICE, "preempted"},
	[MSG_HUB_DIVISION] = {MSG_NOTICE, "division"},
	[MSG_HUB_WORK] = {MSG_INFO, "work"},
	[MSG_HUB_CARRIERS] = {MSG_NOTICE, "carriers"},
	[MSG_HUB_DIRECT] = {MSG_INFO, "start-direct"},
	[MSG_HUB_PACE] = {MSG_INFO, "pace"},
	[MSG_HUB_HELD] = {MSG_NOTICE, "held-back"},
	[MSG_HUB_CRASH] = {MSG_NOTICE, "worker-lost"},
	[MSG_HUB_LEFT] = {MSG_NOTICE, "worker-left"},
	[MSG_HUB_RESTART] = {MSG_NOTICE, "worker-restarted"},
	[MSG_HUB_REPORT_REFUSED] = {MSG_WARN, "report-refused"},
	[MSG_HUB_SUSPECTED] = {MSG_NOTICE, "crashed-under"},
	[MSG_HUB_SUSPECT] = {MSG_WARN, "worker-fails-all"},
	[MSG_HUB_SLOW] = {MSG_NOTICE, "worker-slow"},
	/* wkr: sessions with workers */
	[MSG_WKR_LOST] = {MSG_NOTICE, "worker-silent"},
	[MSG_WKR_BACK] = {MSG_NOTICE, "worker-back"},
	[MSG_WKR_ZONE_SILENT] = {MSG_WARN, "zone-silent"},
	[MSG_WKR_ZONE_BACK] = {MSG_NOTICE, "zone-back"},
	[MSG_WKR_LAPSED] = {MSG_NOTICE, "worker-lapsed"},
	[MSG_WKR_STRAY] = {MSG_WARN, "stray-run"},
	[MSG_WKR_FOREIGN] = {MSG_WARN, "list-of-another-lifetime"},
	/* adv: advice on which workers may run a step */
	[MSG_ADV_TOLD] = {MSG_INFO, "advice"},
	[MSG_ADV_FAILED] = {MSG_WARN, "advice-failed"},
	[MSG_ADV_REFUSED] = {MSG_WARN, "ticket-refused"},
	[MSG_ADV_NOBODY] = {MSG_ERROR, "advice-nobody-to-ask"},
	[MSG_HUB_ORDERS] = {MSG_ERROR, "orders-not-known"},
	/* gat: entry daemon */
	[MSG_GAT_LEADER] = {MSG_NOTICE, "entry-leader"},
	[MSG_GAT_REFUSED] = {MSG_NOTICE, "entry-refused"},
	[MSG_GAT_UNKNOWN] = {MSG_NOTICE, "entry-unknown"},
	[MSG_GAT_DRAIN] = {MSG_NOTICE, "entry-drain"},
	[MSG_SETTINGS] = {MSG_NOTICE, "settings"},
};

static const struct {
	const char *name;
	int priority;
} msg_levels[] = {
	[MSG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
	[MSG_INFO] = {"info", LOG4C_PRIORITY_INFO},
	[MSG_NOTICE] = {"notice", LOG4C_PRIORITY_NOTICE},
	[MSG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
	[MSG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
};

static const log4c_layout_type_t msg_layout_type = {
	.name = "endive-kv",
	.format = msg_layout,
};

static const log4c_appender_type_t msg_appender_type = {
	.name = "endive-stdout",
	.append = msg_append,
};

static log4c_category_t *msg_category;
static enum msg_level msg_lowest = MSG_WARN;
static char msg_program[32] = "endive";
static struct msg_rate msg_rates[MSG_MAX];
static unsigned long msg_left_out;

/*
 * Starts logging to standard output for a program; messages below lowest are
 * left out. Before this call only warnings and errors are shown, bare.
 */
void msg_init(const char *program, enum msg_level lowest)
{
	log4c_appender_t *app;
	log4c_layout_t *layout;

	g_strlcpy(msg_program, program, sizeof(msg_program));
	msg_lowest = lowest;
	msg_never_wait();
	event_set_log_callback(msg_of_libevent);
	if (log4c_init() != 0)
		return;
	log4c_layout_type_set(&msg_layout_type);
	log4c_appender_type_set(&msg_appender_type);
	layout = log4c_layout_get("endive");
	log4c_layout_set_type(layout, &msg_layout_type);
	app = log4c_appender_get("endive");
	log4c_appender_set_type(app, &msg_appender_type);
	log4c_appender_set_layout(app, layout);
	msg_category = log4c_category_get("endive");
	log4c_category_set_appender(msg_category, app);
	log4c_category_set_additivity(msg_category, 0);
	log4c_category_set_priority(msg_category, LOG4C_PRIORITY_DEBUG);
}

/* Ends logging and frees what log4c holds. */
void msg_done(void)
{
	if (!msg_category)
		return;
	msg_category = NULL;
	log4c_fini();
}

/* The level of a message. */
enum msg_level msg_level_of(enum msg_id id)
{
	return msg_table[id].level;
}

/* The name of a message as it stands in the log. */
const char *msg_name_of(enum msg_id id)
{
	return msg_table[id].name;
}

/* Reads a level's name; FALSE where there is no such level. */
gboolean msg_level_parse(const char *s, enum msg_level *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(msg_levels); i++) {
		if (strcmp(s, msg_levels[i].name) != 0)
			continue;
		*out = (enum msg_level)i;
		return TRUE;
	}
	return FALSE;
}

/* Logs message id with key=value text, with the place it arose. */
void msg_at(const char *file, int line, enum msg_id id, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	msg_take(file, line, id, NULL, MSG_PLAIN, fmt, ap);
	va_end(ap);
}

/* The same of a job; what is left out of a flood is chosen by the job. */
void msg_job_at(const char *file, int line, enum msg_id id, const char *job,
		enum msg_keep keep, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	msg_take(file, line, id, job, keep, fmt, ap);
	va_end(ap);
}

/* Writes a line unless it is left out; tells of those that were. */
static void msg_take(const char *file, int line, enum msg_id id,
		     const char *job, enum msg_keep keep, const char *fmt,
		     va_list ap)
{
	struct msg_rate *rate = &msg_rates[id];
	unsigned int dropped;
	char text[1024];

	if (msg_table[id].level < msg_lowest)
		return;
	dropped = msg_rate_second(rate, time(NULL));
	if (dropped) {
		g_snprintf(text, sizeof(text), "of=%s lines=%u",
			   msg_table[id].name, dropped);
		msg_write(file, line, MSG_SUPPRESSED, text);
	}
	if (!msg_rate_take(rate, job, keep))
		return;
	g_vsnprintf(text, sizeof(text), fmt, ap);
	msg_write(file, line, id, text);
}

static void msg_write(const char *file, int line, enum msg_id id,
		      const char *text)
{
	const char *slash = strrchr(file, '/');
	const struct msg_def *def = &msg_table[id];

	if (slash)
		file = slash + 1;
	if (!msg_category) {
		fprintf(stderr, "%s: msg=%s %s\n", msg_program, def->name,
			text);
		return;
	}
	log4c_category_log(msg_category, msg_levels[def->level].priority,
			   "msg=%s %s at=%s:%d", def->name, text, file, line);
}

static const char *msg_layout(const log4c_layout_t *layout,
			      const log4c_logging_event_t *ev)
{
	static char line[1400];
	struct tm tm;
	time_t sec = ev->evt_timestamp.tv_sec;
	const char *level = "info";
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(msg_levels); i++)
		if (msg_levels[i].priority == ev->evt_priority)
			level = msg_levels[i].name;
	gmtime_r(&sec, &tm);
	g_snprintf(line, sizeof(line),
		   "time=%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ level=%s "
		   "program=%s %s\n",
		   tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
		   tm.tm_min, tm.tm_sec, (long)ev->evt_timestamp.tv_usec / 1000,
		   level, msg_program, ev->evt_msg);
	return line;
}

static int msg_append(log4c_appender_t *app, const log4c_logging_event_t *ev)
{
	size_t len = strlen(ev->evt_rendered_msg);

	/*
	 * A reader that stands still must not hold up the loop: what it
	 * doesn't take is left out, and counted.
	 */
	if (write(STDOUT_FILENO, ev->evt_rendered_msg, len) != (ssize_t)len)
		msg_left_out++;
	return (int)len;
}

/* Output to a pipe is given up rather than waited for. */
static void msg_never_wait(void)
{
	struct stat st;
	int flags;

	if (fstat(STDOUT_FILENO, &st) != 0 ||
	    !(S_ISFIFO(st.st_mode) || S_ISSOCK(st.st_mode)))
		return;
	flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0 && fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		msg_left_out++;
}

/*
 * What libevent says, as a line of ours: bounded, and with time and program.
 * Its own lines would go on at any rate while the process has no descriptor.
 */
static void msg_of_libevent(int severity, const char *text)
{
	if (severity >= EVENT_LOG_WARN)
		msg(MSG_LIBEVENT, "text=\"%s\"", text);
}

/* Lines that could not be written since the start. */
unsigned long msg_lines_left_out(void)
{
	return msg_left_out;
}
