#ifndef IDM_INT_H
#define IDM_INT_H

#include "idm.h"

/* What the parts of the key memory share; private to idm_*.c. */

/*
 * A keeper not heard for so long is asked out of the view, ms. A broken
 * connection is back within a tenth of it; a keeper that was started anew is
 * another one anyway. Until then claims wait.
 */
#define IDM_OUT_MS 700

/* No keeper heard for so long: the memory is lost, a new one is begun, ms. */
#define IDM_RESET_MS 5000

/* No view is known for so long: the zone's first memory is begun, ms. */
#define IDM_BEGIN_MS 500

/* Between two proposals of the same change, ms. */
#define IDM_PROPOSE_MS 1000

/* An owner not heard for so long won't tell how its request ended, ms. */
#define IDM_OWNER_MS 4000

/*
 * A claim that not all keepers hold after so long is given up, ms: longer than
 * a dead keeper takes to be found (1 s), asked out and replaced, so that one
 * lost entry VM costs callers a wait and not a refusal.
 */
#define IDM_ASK_MS 2500

/*
 * Records changed within this time may have been on their way when a first
 * keeper died, ms.
 */
#define IDM_IN_FLIGHT_MS 10000

/* Most bytes of records in one message to a new keeper. */
#define IDM_SYNC_BYTES (256u << 10)

/* On the way to an asker only: another sending of the key is running. */
#define IDM_WAIT (IDM_REFUSED + 1)

enum idm_kind {
	IDM_MSG_ASK = 1, /* asker to first keeper: ask, key, digest */
	IDM_MSG_VERDICT, /* back: ask, verdict, bytes */
	IDM_MSG_FINISH, /* asker to first keeper: ask, key, state, bytes */
	IDM_MSG_FINISHED, /* back: ask */
	IDM_MSG_PUT, /* first keeper to the others: view, seq, record */
	IDM_MSG_PUT_OK, /* back: view, seq */
	IDM_MSG_PUT_OLD, /* back: a newer view is known here */
	IDM_MSG_SYNC, /* to a new keeper: view, last, records */
	IDM_MSG_SYNC_OK, /* back: view, last */
};

/* Who waits for the verdict on a claimed key. */
struct idm_waiter {
	char *node;
	uint64_t ask;
};

struct idm_record {
	char *key;
	uint8_t digest[IDM_DIGEST];
	enum idm_state state;
	char *owner; /* node that claimed it */
	uint64_t boot; /* of that node */
	uint64_t ask; /* of that node */
	GBytes *bytes; /* the answer kept, or NULL */
	int64_t changed; /* ms, here */
	int64_t owner_lost; /* since when the owner is not heard; 0: heard */
	/* at the first keeper only */
	GPtrArray *waiters; /* struct idm_waiter, or NULL */
	unsigned int missing; /* bit i: keeper i has not acknowledged seq */
	uint64_t seq;
	bool tell_finished; /* the owner waits to hear that it is kept */
};

/* Another entry daemon of the zone that is up, or was. */
struct idm_peer {
	char *node;
	uint64_t boot;
	bool up;
	int64_t since; /* when it came up or went down */
	bool synced; /* holds all records of this view (first keeper's word) */
	bool syncing;
};

/* One of our own asks, until its finish is kept. */
struct idm_own {
	uint64_t ask;
	char *key;
	uint8_t digest[IDM_DIGEST];
	void *user; /* NULL once the verdict was given */
	int64_t since;
	bool waiting; /* behind another sending of the same key */
	bool told; /* the verdict was given */
	bool claimed; /* granted: a finish is owed */
	bool finishing;
	enum idm_state state;
	GBytes *bytes;
};

struct idm {
	struct idm_config config;
	const struct idm_ops *ops;
	void *arg;
	char *self; /* NODE/BOOT */
	struct idm_view *view; /* NULL until one is known */
	bool complete; /* all records of the view are held here */
	bool learning; /* they are on their way */
	uint64_t learnt; /* number of the view they came under */
	GHashTable *records; /* key -> struct idm_record, owned */
	GHashTable *by_seq; /* &seq -> record some keeper has yet to hold */
	GHashTable *peers; /* node -> struct idm_peer, owned */
	GHashTable *own; /* &ask -> struct idm_own, owned */
	uint64_t next_ask;
	uint64_t next_seq;
	int64_t started;
	int64_t proposed;
	int64_t no_keeper_since; /* 0: some keeper is up, or we are one */
	size_t bytes;
	struct idm_stats stats;
};

/* idm.c */
char *idm_keeper_name(const char *node, uint64_t boot);
bool idm_has_keeper(const struct idm_view *v, const char *keeper);
bool idm_first(const struct idm *m);
const char *idm_first_node(const struct idm *m, char **freed);
bool idm_keeper_up(const struct idm *m, const char *keeper);
struct idm_peer *idm_peer_of_keeper(const struct idm *m, const char *keeper);
void idm_send(struct idm *m, const char *node, struct pk_out *o);

/* idm_keep.c: what a keeper does */
void idm_keep_ask(struct idm *m, int64_t now, const char *from, uint64_t ask,
		  struct lstr key, struct lstr digest);
void idm_keep_finish(struct idm *m, int64_t now, const char *from, uint64_t ask,
		     struct lstr key, enum idm_state state, struct lstr bytes);
void idm_keep_put(struct idm *m, int64_t now, const char *from,
		  struct pk_in *in);
void idm_keep_put_ok(struct idm *m, int64_t now, const char *from,
		     struct pk_in *in);
void idm_keep_sync(struct idm *m, int64_t now, const char *from,
		   struct pk_in *in);
void idm_keep_view(struct idm *m, int64_t now, const struct idm_view *old);
void idm_keep_tick(struct idm *m, int64_t now);
void idm_keep_start_sync(struct idm *m, struct idm_peer *p);
void idm_record_free(gpointer p);

/* idm_own.c: our own asks */
void idm_own_resend(struct idm *m, int64_t now);
void idm_own_verdict(struct idm *m, int64_t now, uint64_t ask,
		     enum idm_verdict v, struct lstr bytes);
void idm_own_finished(struct idm *m, uint64_t ask);
void idm_own_tick(struct idm *m, int64_t now);
void idm_own_free(gpointer p);

#endif
