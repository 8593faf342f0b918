#ifndef CFG_H
#define CFG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fvw.h"
#include "lstr.h"

/*
 * The configuration: one base file for all sites and an overlay for each
 * site that states only differences. It is checked as a whole; a struct cfg
 * exists only for texts without a fault.
 */

/* Limits on size; each is enforced and named in the fault. */
#define CFG_TEXT_MAX (2u << 20) /* bytes of all files together */
#define CFG_NAME_MAX FVW_NAME_MAX
#define CFG_FAULTS_MAX 100

enum cfg_kind {
	CFG_FLEET,
	CFG_OVERLAY,
	CFG_SITE,
	CFG_SIZE,
	CFG_POOL,
	CFG_TEAM,
	CFG_JOB,
	CFG_RACK,
	CFG_KINDS
};

/* Every key, by section; the table in cfg_schema.c says what each may be. */
enum cfg_key {
	CFG_FLEET_NAME,
	CFG_FLEET_WEIGHT_BUFFER,
	CFG_FLEET_WEIGHT_ROLLOUT,
	CFG_FLEET_WEIGHT_MOVES,
	CFG_OVERLAY_SITE,
	CFG_SITE_ZONES,
	CFG_SIZE_CORES,
	CFG_SIZE_MEMORY,
	CFG_SIZE_ACCELERATORS,
	CFG_POOL_SERVICE,
	CFG_POOL_CAPACITY, /* VMs wanted in service, at each site */
	CFG_POOL_SLOTS,
	CFG_POOL_CONNECTIONS,
	CFG_POOL_DEADLINE,
	CFG_POOL_MAX_BODY,
	CFG_POOL_MAX_ANSWER,
	CFG_POOL_QUEUE_WAIT,
	CFG_POOL_PRIORITY,
	CFG_POOL_BUDGET, /* VMs of capacity that may be missing at once */
	CFG_POOL_BUDGET_ZONE, /* of these, in one zone */
	CFG_POOL_BUDGET_RACK, /* of these, in one rack */
	CFG_POOL_SURVIVES, /* the failure that must leave the capacity */
	CFG_TEAM_CORES,
	CFG_TEAM_ACCELERATORS,
	CFG_TEAM_JOBS,
	CFG_JOB_POOL,
	CFG_JOB_TEAM,
	CFG_JOB_CORES,
	CFG_JOB_MEMORY,
	CFG_JOB_ACCELERATORS,
	CFG_JOB_RUN_TIME,
	CFG_JOB_IDEMPOTENT,
	CFG_JOB_CHECKPOINT,
	CFG_JOB_CLASS,
	CFG_RACK_ZONE,
	CFG_KEYS
};

enum cfg_type {
	CFG_INT,
	CFG_BYTES, /* number with K, M or G */
	CFG_TIME, /* number with ms, s, m or h; num holds milliseconds */
	CFG_BOOL, /* yes or no */
	CFG_WORD, /* one of words; num holds its place */
	CFG_NAME,
	CFG_NAMES, /* names with blanks between */
	CFG_REF, /* name of an object of kind ref */
	CFG_TYPES
};

/* What a key may be. */
struct cfg_key_def {
	enum cfg_kind kind;
	const char *name;
	enum cfg_type type;
	const char *dflt; /* NULL: must be given */
	int64_t min;
	int64_t max;
	const char *words; /* for CFG_WORD: "a|b" */
	enum cfg_kind ref; /* for CFG_REF */
	bool overlay; /* may differ by site */
};

/* What a section is, and how many there may be. */
struct cfg_kind_def {
	const char *name;
	bool named;
	guint max;
	enum cfg_key first; /* keys first to last belong to it */
	enum cfg_key last;
};

/* A value and where it came from. */
struct cfg_val {
	char *text; /* NULL: not stated */
	int64_t num;
	guint file; /* place in files */
	int line; /* 0: the default */
};

struct cfg_obj {
	enum cfg_kind kind;
	char *name; /* "" for a section without name */
	char *group; /* the section as it stands in the file */
	guint file;
	int line;
	struct cfg_val *vals; /* by key, from the kind's first */
};

/* A VM as the base file states it. */
struct cfg_vm {
	char *name;
	const struct cfg_obj *rack;
	const struct cfg_obj *pool;
	const struct cfg_obj *size;
	const char *zone;
	const struct cfg_obj *site;
	int line;
};

/* Differences of one site. */
struct cfg_overlay {
	const struct cfg_obj *site;
	guint file;
	GPtrArray *objs; /* struct cfg_obj, only stated values set */
};

/* A file as it is given and stored. */
struct cfg_text {
	struct lstr name;
	struct lstr text;
};

struct cfg {
	GPtrArray *files; /* char *: names, the base file first */
	GPtrArray *objs[CFG_KINDS]; /* struct cfg_obj by name */
	GPtrArray *overlays; /* struct cfg_overlay */
	GArray *vms; /* struct cfg_vm by name */
	GHashTable *zones; /* zone -> struct cfg_obj of its site */
};

/* What is wrong with a text, or worth pointing out. */
struct cfg_fault {
	bool remark; /* does not keep the text from being accepted */
	char *file;
	int line; /* 0: the file as a whole */
	char *group;
	char *key; /* "" for the section as a whole */
	char *value;
	char *allowed;
};

extern const struct cfg_key_def cfg_keys[CFG_KEYS];
extern const struct cfg_kind_def cfg_kinds[CFG_KINDS];

bool cfg_is_name(struct lstr s);
bool cfg_same(enum cfg_key key, const struct cfg_val *a,
	      const struct cfg_val *b);
struct cfg *cfg_load(const struct cfg_text *files, guint n, GPtrArray *faults);
void cfg_free(struct cfg *c);

GPtrArray *cfg_faults_new(void);
char *cfg_fault_text(const struct cfg_fault *f);
guint cfg_faults_hard(const GPtrArray *faults);

const struct cfg_obj *cfg_find(const struct cfg *c, enum cfg_kind kind,
			       const char *name);
const struct cfg_vm *cfg_vm(const struct cfg *c, const char *name);
const struct cfg_val *cfg_value(const struct cfg *c, const struct cfg_obj *site,
				const struct cfg_obj *o, enum cfg_key key);
int64_t cfg_num(const struct cfg *c, const struct cfg_obj *site,
		const struct cfg_obj *o, enum cfg_key key);
const char *cfg_str(const struct cfg *c, const struct cfg_obj *site,
		    const struct cfg_obj *o, enum cfg_key key);
char *cfg_origin(const struct cfg *c, const struct cfg_val *v);
void cfg_view_pools(const struct cfg *c, const struct cfg_obj *site,
		    struct fvw *v);

#endif
