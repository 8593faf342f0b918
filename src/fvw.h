#ifndef FVW_H
#define FVW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The fleet view: the part of the fleet state that an entry daemon works by,
 * as it travels from voters to entry daemons and between neighbours.
 */
struct fvw_pool {
	char *name;
	char *service; /* first part of the path of its requests */
	int slots; /* requests at once a target may run */
	int conns; /* connections a target allows */
	int64_t deadline_ms; /* for a request that states none */
	int64_t max_answer; /* bytes held whole before the first is passed on */
	int64_t max_body; /* bytes of a request's body */
	int queue_ms; /* longest wait before a refusal */
	int priority; /* larger goes first; the duty officer changes it */
};

struct fvw_vm {
	char *name;
	int pool; /* index in pools */
	uint64_t epoch; /* of its membership; grows with each move */
	bool drained;
};

/* The daemons that hold a zone's memory of idempotency keys; see idm. */
struct fvw_keepers {
	char *zone;
	uint64_t epoch;
	uint64_t number;
	GPtrArray *names; /* char *, NODE/BOOT; the first one leads */
};

struct fvw {
	uint64_t version;
	GArray *pools; /* struct fvw_pool by name */
	GArray *vms; /* struct fvw_vm by name */
	GPtrArray *drained; /* char *: targets drained by name, in order */
	GPtrArray *keepers; /* struct fvw_keepers by zone */
	GArray *services; /* guint: pools by service; made by fvw_index */
};

/* Limits that every view keeps; a view beyond them is refused. */
#define FVW_POOLS_MAX 1024
#define FVW_VMS_MAX 20000
#define FVW_DRAINED_MAX 4096
#define FVW_NAME_MAX 63
#define FVW_ZONES_MAX 64
#define FVW_KEEPERS_MAX 3

struct fvw *fvw_new(uint64_t version);
void fvw_free(struct fvw *v);
void fvw_index(struct fvw *v);
void fvw_pack(const struct fvw *v, struct pk_out *o);
void fvw_delta_pack(const struct fvw *changed, uint64_t from, bool pools,
		    const GPtrArray *gone, struct pk_out *o);
uint64_t fvw_delta_from(struct lstr bytes);
struct fvw *fvw_update(const struct fvw *old, struct lstr bytes, GError **err);
struct fvw *fvw_unpack(struct lstr bytes, GError **err);
const struct fvw_pool *fvw_service(const struct fvw *v, struct lstr service);
const struct fvw_vm *fvw_vm(const struct fvw *v, struct lstr name);
int fvw_pool_at(const struct fvw *v, const char *name);
struct fvw_keepers *fvw_keepers_new(struct lstr zone, uint64_t epoch,
				    uint64_t number);
struct fvw_keepers *fvw_keepers_copy(const struct fvw_keepers *k);
void fvw_keepers_free(gpointer p);
void fvw_keepers_pack(const struct fvw_keepers *k, struct pk_out *o);
struct fvw_keepers *fvw_keepers_unpack(struct pk_in *in);
bool fvw_keeper_ok(struct lstr name);
bool fvw_target_drained(const struct fvw *v, struct lstr target);

#endif
