#ifndef HUB_H
#define HUB_H

/* The hub is the control daemon of a fleet that runs jobs. */

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adv.h"
#include "dom.h"
#include "fdb.h"
#include "itk.h"
#include "jtb.h"
#include "key.h"
#include "vms.h"
#include "vtp.h"
#include "wkr.h"

/*
 * Each replica holds the job table; only the leading replica decides. The
 * protocol layer (struct hub_protocol) translates the messages of callers,
 * workers and operators.
 */
struct hub;
struct hub_call;

/* How a call reached the daemon. */
enum hub_origin {
	HUB_FROM_ENTRY, /* relayed by an entry daemon */
	HUB_FROM_CONTROL, /* sent to the control address */
	HUB_FROM_OPERATOR, /* sent by an operator's client */
};

/* An answer to a call. */
struct hub_answer {
	int status;
	int retry_after_s; /* 0: no Retry-After header */
	const char *type; /* media type of body */
	struct lstr body;
	const char *location; /* URL at another replica; or NULL */
};

/* Why a worker's report can't be used. */
enum hub_report_fault {
	HUB_REPORT_USABLE,
	HUB_REPORT_UNREADABLE, /* a field is missing or of another type */
	HUB_REPORT_UNKNOWN, /* it names a state or pool that isn't known */
	HUB_REPORT_FAULTS
};

/* Why a caller's key is refused. */
enum hub_key_fault {
	HUB_KEY_VALID,
	HUB_KEY_MISSING, /* the call has no key */
	HUB_KEY_MALFORMED, /* its header cannot be read, or is doubled */
	HUB_KEY_UNKNOWN, /* no organisation has the key */
	HUB_KEY_OF_OTHER, /* the job belongs to another organisation */
	HUB_KEY_FAULTS
};

/* Resumes a call once the log has stored its entry or confirmed its read. */
typedef void (*hub_resume_fn)(struct hub *h, struct hub_call *c);

/* How the protocol layer is called, and its encodings. */
struct hub_protocol {
	/* takes a call on any replica; may answer later */
	void (*call)(struct hub *h, struct hub_call *c);
	const struct wkr_codec *codec;
	const struct vms_codec *vm_codec;
	const struct adv_codec *advice_codec;
};

/* What a control daemon is started with, from its settings. */
struct hub_config {
	struct event_base *base;
	const struct keyring *keys;
	const struct hub_protocol *protocol;
	char *node;
	char *zone;
	char *wire; /* IP:PORT for the fleet's own processes */
	char *control; /* IP:PORT for operators and workers */
	char *metrics; /* IP:PORT; or NULL */
	char *vms; /* IP:PORT of the service that manages VMs; or NULL */
	char *advice; /* IP:PORT of the advice service; or NULL */
	const struct dom_way *domains; /* how jobs are kept in few zones */
	char *division; /* name of a struct div_way; NULL: the default */
	char *data;
	char **seeds; /* IP:PORT, as wire */
	bool bootstrap;
	const struct vtp *voters; /* how the number of voters is chosen */
	long long voters_min;
	long long hold_max_ms; /* longest lease that workers accept */
	/* least time between orders of two leaders to the same VM */
	long long vm_lease_ms;
	/* number of workers from which other replicas relay calls to them */
	long long relay_min_workers;
	long long job_retention_ms; /* how long an ended job can be queried */
	enum shr_method shares; /* how organisations' shares order jobs */
	long long body_max; /* bytes */
	const struct itk_way *intake; /* which jobs are refused for room */
	long long memory; /* bytes the process may use; 0: not set */
	const struct fdb *descriptors;
};

struct hub *hub_new(const struct hub_config *config, GError **err);
void hub_free(struct hub *h);
void hub_drain(struct hub *h);
bool hub_failed(const struct hub *h);
void hub_set_seeds(struct hub *h, char **seeds);
void hub_set_advice(struct hub *h, const char *addr);

/* Used by the protocol layer. */
enum hub_origin hub_origin(const struct hub_call *c);
const char *hub_method(const struct hub_call *c);
const char *hub_host(const struct hub_call *c);
const char *hub_path(const struct hub_call *c);
const char *hub_caller_zone(const struct hub_call *c);
struct lstr hub_body(const struct hub_call *c);
struct lstr hub_credentials(const struct hub_call *c);
void hub_set_user(struct hub_call *c, void *user);
void *hub_user(const struct hub_call *c);
void hub_answer(struct hub *h, struct hub_call *c, const struct hub_answer *a);
void hub_answer_later(struct hub *h, struct hub_call *c);
void hub_answer_status(struct hub *h, struct hub_call *c, int status);
void hub_answer_text(struct hub *h, struct hub_call *c, int status,
		     const char *text);
void hub_refuse_key(struct hub *h, struct hub_call *c,
		    const struct jtb_queue *q, enum hub_key_fault why,
		    struct lstr key);
bool hub_leads(const struct hub *h);
char *hub_leader_control(const struct hub *h);
char *hub_report_addr(const struct hub *h, const char *worker);
const struct jtb *hub_jobs(const struct hub *h);
int64_t hub_wall_ms(void);
struct pk_out *hub_append_command(struct hub *h);
void hub_commit(struct hub *h, struct hub_call *c, hub_resume_fn resume);
void hub_read(struct hub *h, struct hub_call *c, hub_resume_fn resume);
void hub_accept_config(struct hub *h, struct hub_call *c,
		       const struct jtb_config *config, hub_resume_fn resume);
void hub_submit(struct hub *h, struct hub_call *c, const struct jtb_spec *spec,
		hub_resume_fn resume);
void hub_cancel(struct hub *h, struct hub_call *c, const char *id,
		hub_resume_fn resume);
void hub_refuse_report(struct hub *h, struct hub_call *c, const char *id,
		       enum hub_report_fault why);
void hub_accept_report(struct hub *h, struct hub_call *c,
		       struct jtb_worker_info *info, int64_t leaves_in_ms,
		       uint64_t sequence, int64_t clock_ms,
		       hub_resume_fn resume);
bool hub_knows_worker(struct hub *h, const struct jtb_worker_info *info);
void hub_accept_leave(struct hub *h, struct hub_call *c, const char *id,
		      hub_resume_fn resume);

#endif
