#ifndef HUB_H
#define HUB_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adv.h"
#include "fdb.h"
#include "jtb.h"
#include "key.h"
#include "vms.h"
#include "wkr.h"

/*
 * The control daemon of a fleet that runs jobs: a replica of the job table,
 * and, on the one that leads, all decisions. Whose words callers, workers and
 * operators use is the business of a face (struct hub_face).
 */
struct hub;
struct hub_call;

/* Where a call came in. */
enum hub_door {
	HUB_CALLERS, /* passed on by an entry daemon */
	HUB_CONTROL, /* operators and workers, to us */
};

struct hub_answer {
	int status;
	int retry_after_s; /* 0: not told */
	const char *type; /* of body */
	struct lstr body;
	const char *location; /* another replica to ask; or NULL */
};

/* Goes on with a call once the log has answered. */
typedef void (*hub_then)(struct hub *h, struct hub_call *c);

struct hub_face {
	/* on any replica; the answer may be given later */
	void (*call)(struct hub *h, struct hub_call *c);
	const struct wkr_codec *codec;
	const struct vms_codec *vm_codec;
	const struct adv_codec *advice_codec;
};

struct hub_config {
	struct event_base *base;
	const struct keyring *keys;
	const struct hub_face *face;
	char *node;
	char *zone;
	char *wire; /* IP:PORT for own processes */
	char *control; /* IP:PORT for operators and workers */
	char *metrics; /* IP:PORT; or NULL */
	char *vms; /* IP:PORT of the service that switches VMs; or NULL */
	char *advice; /* IP:PORT of the service that gives it; or NULL */
	char *data;
	char **seeds; /* IP:PORT, as wire */
	bool bootstrap;
	long long voters_min;
	long long hold_max_ms; /* longest lease workers take */
	long long vm_lease_ms; /* between orders of two leaders for a VM */
	long long carry_from; /* workers; other replicas call them then */
	long long keep_ms; /* an ended job is told of for so long */
	long long body_max; /* bytes */
	long long bodies_max; /* bytes of all at once; 0: no bound */
	const struct fdb *descriptors;
};

struct hub *hub_new(const struct hub_config *config, GError **err);
void hub_free(struct hub *h);
void hub_drain(struct hub *h);
bool hub_failed(const struct hub *h);
void hub_set_seeds(struct hub *h, char **seeds);
void hub_set_advice(struct hub *h, const char *addr);

/* For faces. */
enum hub_door hub_door(const struct hub_call *c);
const char *hub_method(const struct hub_call *c);
const char *hub_host(const struct hub_call *c);
const char *hub_path(const struct hub_call *c);
struct lstr hub_body(const struct hub_call *c);
void hub_set_user(struct hub_call *c, void *user);
void *hub_user(const struct hub_call *c);
void hub_answer(struct hub *h, struct hub_call *c, const struct hub_answer *a);
void hub_status(struct hub *h, struct hub_call *c, int status);
bool hub_leads(const struct hub *h);
char *hub_leader_control(const struct hub *h);
char *hub_reports_to(const struct hub *h, const char *worker);
const struct jtb *hub_jobs(const struct hub *h);
int64_t hub_wall_ms(void);
struct pk_out *hub_put(struct hub *h);
void hub_commit(struct hub *h, struct hub_call *c, hub_then then);
void hub_read(struct hub *h, struct hub_call *c, hub_then then);
void hub_submit(struct hub *h, struct hub_call *c, const struct jtb_spec *spec,
		hub_then then);
void hub_cancel(struct hub *h, struct hub_call *c, const char *id,
		hub_then then);
void hub_told_worker(struct hub *h, struct hub_call *c,
		     const struct jtb_worker_info *info, uint64_t sequence,
		     int64_t clock_ms, hub_then then);
bool hub_knows_worker(struct hub *h, const struct jtb_worker_info *info);
void hub_told_leave(struct hub *h, struct hub_call *c, const char *id,
		    hub_then then);

#endif
