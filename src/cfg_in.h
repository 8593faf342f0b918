#ifndef CFG_IN_H
#define CFG_IN_H

#include "cfg.h"

/* Between the files of cfg only. */

/* One "key = value" line, or a section's own line with key "". */
struct cfg_item {
	char *group;
	char *key;
	char *value;
	int line;
};

/* Where a fault arose. */
struct cfg_place {
	const char *file;
	int line;
	const char *group;
	const char *key;
	const char *value;
};

GPtrArray *cfg_scan(const char *file, struct lstr text, GPtrArray *faults);
void cfg_fault(GPtrArray *faults, const struct cfg_place *at, const char *fmt,
	       ...) G_GNUC_PRINTF(3, 4);
void cfg_remark(GPtrArray *faults, const struct cfg_place *at, const char *fmt,
		...) G_GNUC_PRINTF(3, 4);
bool cfg_parse(enum cfg_key key, const char *text, int64_t *num);
char *cfg_allowed(enum cfg_key key);
const struct cfg_val *cfg_default(enum cfg_key key);
struct cfg_obj *cfg_obj_new(enum cfg_kind kind, const char *name);
void cfg_obj_free(gpointer p);
int cfg_obj_order(gconstpointer a, gconstpointer b);
void cfg_check_whole(struct cfg *c, GPtrArray *faults);

#endif
