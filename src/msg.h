#ifndef MSG_H
#define MSG_H

#include <glib.h>

#include "msg_rate.h"

enum msg_level {
	MSG_DEBUG,
	MSG_INFO,
	MSG_NOTICE,
	MSG_WARN,
	MSG_ERROR,
};

/*
 * Every line the programs may log, in the order of the table in msg.c: one
 * block for each module.
 */
enum msg_id {
	/* all daemons */
	MSG_START,
	MSG_STOP,
	MSG_SUPPRESSED,
	MSG_LIBEVENT,
	MSG_ACC_FAILED,
	/* wire: connections between own processes */
	MSG_WIRE_UP,
	MSG_WIRE_DOWN,
	MSG_WIRE_REFUSED,
	/* ent, tgt: entry daemon and target table */
	MSG_REQ,
	MSG_TGT_JOIN,
	MSG_TGT_LEAVE,
	MSG_TGT_LAPSE,
	MSG_ENT_CONFIG,
	MSG_ENT_CONFIG_BAD,
	MSG_ENT_PEER_BAD,
	MSG_ENT_DRAIN,
	/* idm: idempotency keys */
	/* ctl: control daemon */
	MSG_CTL_ROLE,
	MSG_CTL_MEMBER,
	MSG_REP_LEADERLESS,
	MSG_REP_OUTSIDE,
	MSG_REP_LEARNER,
	MSG_CTL_FOREIGN,
	MSG_CTL_RECOVERED,
	/* cns, sto: consensus and data folder */
	MSG_STO_OPEN,
	MSG_STO_DAMAGED,
	MSG_STO_FAILED,
	MSG_STO_FULL,
	MSG_STO_SPACE,
	/* cfg, fst: configuration and fleet state */
	MSG_FST_OTHER_ZONE,
	/* pln, wav, job: planner, waves, jobs */
	/* hub, jtb: jobs and what is decided on them */
	MSG_HUB_LEAD,
	MSG_HUB_REST,
	MSG_HUB_JOB,
	MSG_HUB_START,
	MSG_HUB_END,
	MSG_HUB_LATE_END,
	MSG_HUB_STOP,
	MSG_HUB_CANCEL,
	MSG_HUB_JOB_END,
	MSG_HUB_CONFIG,
	MSG_HUB_KEY_REFUSED,
	MSG_HUB_NEVER_FITS,
	MSG_HUB_OVERRIDE,
	MSG_HUB_NO_ROOM,
	MSG_HUB_WORKER,
	MSG_HUB_WORKER_GONE,
	MSG_HUB_WAVE,
	MSG_HUB_VM,
	MSG_VMS_SENT,
	MSG_VMS_DROPPED,
	MSG_UPS_TOO_LONG,
	MSG_HUB_ODD,
	MSG_HUB_POOL,
	MSG_HUB_SHARES,
	MSG_HUB_PREEMPTED,
	MSG_HUB_DIVISION,
	MSG_HUB_WORK,
	MSG_HUB_CARRIERS,
	MSG_HUB_DIRECT,
	MSG_HUB_PACE,
	MSG_HUB_HELD,
	MSG_HUB_SUSPECT,
	MSG_HUB_SLOW,
	MSG_HUB_CRASH,
	MSG_HUB_LEFT,
	MSG_HUB_RESTART,
	MSG_HUB_REPORT_REFUSED,
	MSG_HUB_SUSPECTED,
	/* wkr: sessions with workers */
	MSG_WKR_LOST,
	MSG_WKR_BACK,
	MSG_WKR_ZONE_SILENT,
	MSG_WKR_ZONE_BACK,
	MSG_WKR_LAPSED,
	MSG_WKR_STRAY,
	MSG_WKR_FOREIGN,
	/* adv: advice on which workers may run a step */
	MSG_ADV_TOLD,
	MSG_ADV_FAILED,
	MSG_ADV_REFUSED,
	MSG_ADV_NOBODY,
	MSG_HUB_ORDERS,
	/* gat: entry daemon */
	MSG_GAT_LEADER,
	MSG_GAT_REFUSED,
	MSG_GAT_UNKNOWN,
	MSG_GAT_DRAIN,
	MSG_SETTINGS,
	MSG_MAX
};

void msg_init(const char *program, enum msg_level lowest);
void msg_done(void);
void msg_at(const char *file, int line, enum msg_id id, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);
void msg_job_at(const char *file, int line, enum msg_id id, const char *job,
		enum msg_keep keep, const char *fmt, ...) G_GNUC_PRINTF(6, 7);
unsigned long msg_lines_left_out(void);
enum msg_level msg_level_of(enum msg_id id);
const char *msg_name_of(enum msg_id id);
gboolean msg_level_parse(const char *s, enum msg_level *out);

/* Logs a message of the table; the rest is key=value text as for printf. */
#define msg(id, ...) msg_at(__FILE__, __LINE__, (id), __VA_ARGS__)

/* Logs a message of a job as it should be; under load only of some jobs. */
#define msg_job(id, job, ...) \
	msg_job_at(__FILE__, __LINE__, (id), (job), MSG_SAMPLED, __VA_ARGS__)

/* Logs how a job fails its caller: never left out for the sake of others. */
#define msg_job_fails(id, job, ...) \
	msg_job_at(__FILE__, __LINE__, (id), (job), MSG_FAILURE, __VA_ARGS__)

#endif
