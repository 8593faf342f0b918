#ifndef TGT_H
#define TGT_H

/*
 * Target table: the targets that an entry daemon knows, with the leases they
 * renew by announcing themselves (service registry).
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The table performs no I/O; the current time is passed in. A target renews its
 * lease at one entry daemon, its home; the home reports only changes to the
 * zone's other entry daemons, and that it is alive itself.
 */

/* The contents of a target's announcement. */
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
	uint64_t boot; /* differs for each start of the target */
	uint64_t seq; /* increases with each announcement since that start */
};

/* States of charts/target.chart. */
enum tgt_state {
	TGT_ABSENT,
	TGT_SERVING,
	TGT_LEAVING,
	TGT_LAPSED,
	TGT_DRAINED,
};

struct tgt {
	struct tgt_info info;
	uint64_t id; /* unique for each name, never reused */
	enum tgt_state state;
	/* by the fleet view: not drained, and of the right pool */
	bool allowed;
	char *home; /* entry daemon that holds the lease; NULL: this one */
	int64_t lease_until; /* ms; INT64_MAX while another home is up */
	uint64_t last_boot; /* boot of the previous start */
};

struct tgt_ops {
	/* The target may get work, or its address or slots changed. */
	void (*place)(void *arg, const struct tgt *t);
	/* The target gets no new work. */
	void (*stop)(void *arg, const struct tgt *t);
	/* The target is removed from the table. */
	void (*forget)(void *arg, const struct tgt *t);
	/* Whether the fleet view allows the target to get work. */
	bool (*allowed)(void *arg, const struct tgt_info *info);
	/*
	 * Reports a target whose home is this daemon to the other entry
	 * daemons: it serves or leaves, or (expired) its lease expired.
	 */
	void (*notify)(void *arg, const struct tgt *t, bool expired);
};

/*
 * Times, ms. A target that stops announcing itself gets no new work from its
 * home after TGT_LEASE_MS. If its home fails at the same time, the other
 * daemons detect that after the wire's silence time (1 s) and wait
 * TGT_HOME_GRACE_MS for the target to announce itself elsewhere: 2.7 s in all,
 * within the 3 s guaranteed.
 */
#define TGT_ANNOUNCE_INTERVAL_MS 650
#define TGT_LEASE_MS 2000
#define TGT_HOME_GRACE_MS 1700
#define TGT_RETENTION_MS 60000

/* Most targets in the table; beyond that, new ones are refused. */
#define TGT_TABLE_MAX 20000

struct tgt_table;

struct tgt_table *tgt_table_new(const struct tgt_ops *ops, void *arg);
void tgt_table_free(struct tgt_table *tab);
bool tgt_announce(struct tgt_table *tab, int64_t now,
		  const struct tgt_info *info, GError **err);
void tgt_record_report(struct tgt_table *tab, int64_t now, const char *home,
		       const struct tgt_info *info, bool expired);
void tgt_home_down(struct tgt_table *tab, int64_t now, const char *home);
void tgt_home_list_done(struct tgt_table *tab, int64_t now, const char *home,
			GHashTable *names);
void tgt_resumed(struct tgt_table *tab, int64_t now, int64_t paused_ms);
void tgt_tick(struct tgt_table *tab, int64_t now);
void tgt_check_allowed(struct tgt_table *tab);
const struct tgt *tgt_find(const struct tgt_table *tab, const char *name);
const struct tgt *tgt_by_id(const struct tgt_table *tab, uint64_t id);
void tgt_foreach(const struct tgt_table *tab,
		 void (*fn)(void *arg, const struct tgt *t), void *arg);
guint tgt_count(const struct tgt_table *tab);

void tgt_pack(struct pk_out *o, const struct tgt_info *info, bool expired);
bool tgt_unpack(struct pk_in *in, struct tgt_info *info, bool *expired);
bool tgt_parse_form(struct lstr form, struct tgt_info *info, GError **err);
void tgt_info_clear(struct tgt_info *info);
bool tgt_info_check(const struct tgt_info *info, GError **err);
const char *tgt_state_name(enum tgt_state state);

#endif
