#ifndef OVR_H
#define OVR_H

/* Overrides: what operators order for a while in an overload. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fcm.h"
#include "pk.h"

/*
 * The overrides in force, the results of recent orders and the audit trail.
 * Part of a replicated state machine: only ovr_apply and ovr_names_changed
 * change it, with the same result on every replica. An override ends by itself;
 * an order that is repeated under its id takes effect once.
 */
struct ovr;

/* Which names an order may use, by the configuration in force. */
struct ovr_names {
	bool (*has_pool)(const void *arg, const char *name);
	bool (*has_org)(const void *arg, const char *name);
	const void *arg;
};

/* An order as the log delivers it. */
struct ovr_order {
	int64_t time_ms; /* leader's clock, since 1970 */
	struct lstr who; /* name of the sender's key */
	enum key_role role;
	struct lstr cmd; /* packed by fcm_encode */
};

struct ovr *ovr_new(void);
void ovr_free(struct ovr *o);
void ovr_clear(struct ovr *o);
bool ovr_takes(enum fcm_kind kind);
void ovr_apply(struct ovr *o, const struct ovr_order *order,
	       const struct ovr_names *names);
void ovr_names_changed(struct ovr *o, const struct ovr_names *names);
bool ovr_result(const struct ovr *o, struct lstr who, struct lstr id,
		struct fcm_result *out);
uint32_t ovr_floor(const struct ovr *o, const char *pool, int64_t now_ms);
int64_t ovr_floor_until_ms(const struct ovr *o, const char *pool,
			   int64_t now_ms);
double ovr_weight(const struct ovr *o, const char *org, int64_t now_ms);
guint ovr_count(const struct ovr *o, int64_t now_ms);
bool ovr_query(const struct ovr *o, struct lstr name, struct lstr arg,
	       int64_t now_ms, struct pk_out *result);
void ovr_snapshot(const struct ovr *o, struct pk_out *out);
bool ovr_restore(struct ovr *o, struct pk_in *in);

#endif
