#ifndef TGT_H
#define TGT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The targets an entry daemon knows, without I/O and with time passed in. A
 * target renews its lease at one entry daemon, its home; the others of the
 * zone hear from the home only what changes, and that the home is alive.
 */

/* What a target says of itself. */
struct tgt_info {
	char *name;
	char *service;
	char *addr; /* IP:PORT for requests */
	char *zone;
	char *vm;
	int slots;
	int conns;
	int busy;
	bool leaving;
	uint64_t boot; /* differs for each incarnation */
	uint64_t seq; /* grows with each announcement of an incarnation */
};

/* charts/target.chart */
enum tgt_state {
	TGT_ABSENT,
	TGT_SERVING,
	TGT_LEAVING,
	TGT_LAPSED,
	TGT_DRAINED,
};

struct tgt {
	struct tgt_info info;
	uint64_t id; /* one for each name, never used again */
	enum tgt_state state;
	bool allowed; /* by the fleet view: not drained, and of the right pool */
	char *home; /* entry daemon that holds the lease; NULL: this one */
	int64_t lease_until; /* ms; INT64_MAX while another home is alive */
	uint64_t last_boot; /* of the incarnation before */
};

struct tgt_ops {
	/* takes new work from now on, or its address or slots changed */
	void (*place)(void *arg, const struct tgt *t);
	/* takes no new work from now on */
	void (*stop)(void *arg, const struct tgt *t);
	/* is forgotten */
	void (*forget)(void *arg, const struct tgt *t);
	/* whether the fleet view lets it take work */
	bool (*allowed)(void *arg, const struct tgt_info *info);
	/* as its home we tell the others: it is there, leaves, or is gone */
	void (*tell)(void *arg, const struct tgt *t, bool gone);
};

/*
 * Bounds, ms. A target that is silent gets no new work from its home after
 * LEASE; if its home fails at the same time, the others see that after the
 * silence time of the wire (1 s) and wait ORPHAN for it to announce itself
 * elsewhere: 2.7 s together, under the 3 s promised.
 */
#define TGT_INTERVAL_MS 650
#define TGT_LEASE_MS 2000
#define TGT_ORPHAN_MS 1700
#define TGT_FORGET_MS 60000

/* Targets a daemon keeps; beyond that, new ones are refused. */
#define TGT_MAX 20000

struct tgt_table;

struct tgt_table *tgt_table_new(const struct tgt_ops *ops, void *arg);
void tgt_table_free(struct tgt_table *tab);
bool tgt_announce(struct tgt_table *tab, int64_t now,
		  const struct tgt_info *info, GError **err);
void tgt_heard(struct tgt_table *tab, int64_t now, const char *home,
	       const struct tgt_info *info, bool gone);
void tgt_home_down(struct tgt_table *tab, int64_t now, const char *home);
void tgt_home_list_end(struct tgt_table *tab, int64_t now, const char *home,
		       GHashTable *names);
void tgt_tick(struct tgt_table *tab, int64_t now);
void tgt_review(struct tgt_table *tab);
const struct tgt *tgt_find(const struct tgt_table *tab, const char *name);
const struct tgt *tgt_by_id(const struct tgt_table *tab, uint64_t id);
void tgt_each(const struct tgt_table *tab,
	      void (*fn)(void *arg, const struct tgt *t), void *arg);
guint tgt_count(const struct tgt_table *tab);

void tgt_pack(struct pk_out *o, const struct tgt_info *info, bool gone);
bool tgt_unpack(struct pk_in *in, struct tgt_info *info, bool *gone);
bool tgt_form(struct lstr form, struct tgt_info *info, GError **err);
void tgt_info_clear(struct tgt_info *info);
bool tgt_info_check(const struct tgt_info *info, GError **err);
const char *tgt_state_name(enum tgt_state state);

#endif
