#ifndef FST_IN_H
#define FST_IN_H

#include "fau.h"
#include "fcm.h"
#include "fst.h"

/* Between the files of fst only. */

/*
 * A command's identity is kept for an hour by the log's clock, or less where
 * more than FST_IDS_MAX commands were made within it: then the floor rises,
 * and a command made before the floor is never applied, since it may be the
 * resend of one whose identity is forgotten.
 */
#define FST_ID_WINDOW_MS ((int64_t)3600 * 1000)
#define FST_IDS_MAX 8192
/* How far a client's clock may be ahead of the leader's. */
#define FST_CLOCK_AHEAD_MS ((int64_t)300 * 1000)

/* No clock says more; sums with a time then never overflow. */
#define FST_TIME_MAX (INT64_MAX / 4)

#define FST_HISTORY_MAX 64 /* accepted configurations listed */
#define FST_HISTORY_BYTES (2u << 20) /* of their texts beside the newest */
#define FST_GONE_MAX 10000 /* VMs remembered after their removal */
#define FST_DRAINS_MAX 4096 /* targets drained by name at once */
#define FST_NODES_MAX 1024 /* entry daemons */
#define FST_TEXT_MAX 4000 /* bytes of a result's text */
#define FST_KEEPERS_MAX 64 /* zones with a memory of keys */
#define FST_DIGEST 16

/* The last change of something: what a conflict names. */
struct fst_stamp {
	uint64_t index; /* 0: never changed */
	int64_t time_ms;
	char *who;
	char *what;
};

struct fst_vm {
	char *name;
	char *pool;
	char *to; /* NULL unless it moves */
	enum fst_phase phase;
	uint64_t epoch;
	uint64_t since;
	bool drained;
	struct fst_stamp stamp;
};

/* A target drained by its name. */
struct fst_drain {
	char *name;
	struct fst_stamp stamp;
};

/* An entry daemon that may place work in its zone. */
struct fst_node {
	char *name;
	char *zone;
	struct fst_stamp stamp;
};

/* A priority the duty officer set over the configuration's. */
struct fst_prio {
	char *pool;
	int64_t priority; /* FCM_NO_PRIORITY: cleared */
	struct fst_stamp stamp;
};

/* An accepted configuration; older ones lose their texts. */
struct fst_config {
	uint64_t number; /* 1 for the first */
	uint64_t version; /* of the view it came in force with */
	struct fst_stamp stamp;
	GPtrArray *names; /* char * */
	GPtrArray *texts; /* GBytes *, shared where unchanged; empty: dropped */
};

/* When the pools of a site changed last, as its entry daemons see them. */
struct fst_site {
	char *name;
	uint64_t since; /* view version */
};

/* The first result of a command, for its resends. */
struct fst_id {
	char *key; /* who and identity */
	int64_t made_ms;
	uint8_t digest[FST_DIGEST]; /* of the command, to tell another one */
	GBytes *result;
	GSequenceIter *at;
};

struct fst {
	uint64_t index;
	int64_t time_ms; /* never goes back, whoever leads */
	uint64_t version;
	uint64_t whole_since; /* who is older needs a whole view */
	uint64_t epoch_floor; /* of VMs removed and forgotten */
	int64_t id_floor_ms; /* commands made up to then are not applied */
	GPtrArray *configs; /* struct fst_config, oldest first */
	struct cfg *cfg; /* of the newest; NULL before the first */
	GPtrArray *vms; /* struct fst_vm by name */
	GPtrArray *gone; /* struct fst_vm in order of removal */
	GPtrArray *drains; /* struct fst_drain by name */
	GPtrArray *prios; /* struct fst_prio by pool */
	GPtrArray *nodes; /* struct fst_node by name */
	GPtrArray *keepers; /* struct fvw_keepers by zone */
	GPtrArray *sites; /* struct fst_site, those in force */
	GHashTable *ids; /* key -> struct fst_id */
	GSequence *ids_by_made;
	struct fau *audit;
};

/* One command on its way through fst_apply. */
struct fst_run {
	struct fst *f;
	uint64_t index;
	int64_t time_ms;
	struct lstr who;
	enum key_role role;
	const struct fcm_cmd *cmd;
	uint64_t from; /* for the audit trail */
	GString *what;
	GString *text;
	enum proto_result code;
};

void fst_run_end(struct fst_run *r, enum proto_result code, const char *fmt,
		 ...) G_GNUC_PRINTF(3, 4);
bool fst_run_conflicts(struct fst_run *r, const struct fst_stamp *s,
		       uint64_t base);
void fst_run_auto(struct fst_run *r, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
void fst_touch(struct fst *f);

void fst_stamp_set(struct fst_stamp *s, const struct fst_run *r);
void fst_stamp_clear(struct fst_stamp *s);
char *fst_time_text(int64_t time_ms);

struct fst_vm *fst_vm_find(const struct fst *f, struct lstr name);
void fst_vm_free(gpointer p);
struct fst_drain *fst_drain_find(const struct fst *f, struct lstr name);
void fst_drain_free(gpointer p);
struct fst_prio *fst_prio_find(const struct fst *f, struct lstr pool);
void fst_prio_free(gpointer p);
struct fst_node *fst_node_find(const struct fst *f, struct lstr name);
void fst_node_free(gpointer p);
void fst_site_free(gpointer p);
void fst_sites_take(struct fst *f, const struct cfg *next);
void fst_sites_touch(struct fst *f);
void fst_config_free(gpointer p);
const struct fst_config *fst_config_last(const struct fst *f);
const char *fst_phase_name(enum fst_phase phase);

void fst_do_apply(struct fst_run *r);
void fst_do_drain(struct fst_run *r);
void fst_do_undrain(struct fst_run *r);
void fst_do_move(struct fst_run *r);
void fst_do_released(struct fst_run *r);
void fst_do_moved(struct fst_run *r);
void fst_do_priority(struct fst_run *r);
void fst_do_join(struct fst_run *r);
void fst_do_forget(struct fst_run *r);
void fst_do_note(struct fst_run *r);
void fst_do_keepers(struct fst_run *r);
void fst_keepers_pack(const struct fst *f, struct pk_out *o);
bool fst_keepers_unpack(struct fst *f, struct pk_in *in);
bool fst_members_fit(struct fst_run *r, const struct cfg *next);
void fst_members_take(struct fst_run *r, const struct cfg *next);

char *fst_id_key(struct lstr who, struct lstr id);
const struct fst_id *fst_id_find(const struct fst *f, const char *key);
void fst_id_add(struct fst *f, const char *key, int64_t made_ms,
		const uint8_t *digest, struct lstr result);
void fst_id_expire(struct fst *f);
void fst_id_free(gpointer p);
int fst_id_order(gconstpointer a, gconstpointer b, gpointer arg);

#endif
