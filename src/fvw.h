#ifndef FVW_H
#define FVW_H

/* fvw: the fleet view, the configuration data that entry daemons use. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The fleet view is the part of the fleet state that entry daemons need to
 * place requests. Voters send it to entry daemons, which also send it to one
 * another.
 */
struct fvw_pool {
	char *name;
	char *service; /* first path segment of the pool's requests */
	int slots; /* concurrent requests per target */
	int conns; /* connections per target */
	int64_t deadline_ms; /* default for requests without a deadline */
	int64_t max_answer; /* bytes of an answer buffered before sending */
	int64_t max_body; /* bytes of a request's body */
	int queue_ms; /* longest time in the queue before a refusal */
	int priority; /* higher goes first; set by the duty officer */
};

struct fvw_vm {
	char *name;
	int pool; /* index in pools */
	uint64_t epoch; /* of its pool membership; grows with each move */
	bool drained;
};

/*
 * Key replicas of a zone: the entry daemons that store the zone's idempotency
 * records; see idm.
 */
struct fvw_key_replicas {
	char *zone;
	uint64_t epoch; /* of the records; a new epoch starts without any */
	uint64_t number; /* incremented with each change */
	GPtrArray *names; /* char *, NODE/BOOT; the first one is the leader */
};

struct fvw {
	uint64_t version;
	GArray *pools; /* struct fvw_pool by name */
	GArray *vms; /* struct fvw_vm by name */
	GPtrArray *drained; /* char *: targets drained by name, sorted */
	GPtrArray *key_replicas; /* struct fvw_key_replicas by zone */
	GArray *services; /* guint: pools by service; see fvw_index */
};

/* Limits of a view; a view that exceeds one is refused. */
#define FVW_POOLS_MAX 1024
#define FVW_VMS_MAX 20000
#define FVW_DRAINED_MAX 4096
#define FVW_NAME_MAX 63
#define FVW_ZONES_MAX 64
#define FVW_KEY_REPLICAS_MAX 3

struct fvw *fvw_new(uint64_t version);
void fvw_free(struct fvw *v);
void fvw_index(struct fvw *v);
void fvw_pack(const struct fvw *v, struct pk_out *o);
void fvw_delta_pack(const struct fvw *changed, uint64_t from, bool pools,
		    const GPtrArray *removed, struct pk_out *o);
uint64_t fvw_delta_from(struct lstr bytes);
struct fvw *fvw_update(const struct fvw *old, struct lstr bytes, GError **err);
struct fvw *fvw_unpack(struct lstr bytes, GError **err);
const struct fvw_pool *fvw_pool_for_service(const struct fvw *v,
					    struct lstr service);
const struct fvw_vm *fvw_vm(const struct fvw *v, struct lstr name);
int fvw_pool_index(const struct fvw *v, const char *name);
struct fvw_key_replicas *fvw_key_replicas_new(struct lstr zone, uint64_t epoch,
					      uint64_t number);
struct fvw_key_replicas *
fvw_key_replicas_copy(const struct fvw_key_replicas *k);
void fvw_key_replicas_free(gpointer p);
void fvw_key_replicas_pack(const struct fvw_key_replicas *k, struct pk_out *o);
struct fvw_key_replicas *fvw_key_replicas_unpack(struct pk_in *in);
bool fvw_is_key_replica_name(struct lstr name);
bool fvw_target_drained(const struct fvw *v, struct lstr target);

#endif
