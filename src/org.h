#ifndef ORG_H
#define ORG_H

/* Organisations: whose keys callers present, and how much may run for each. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/* Longest key and longest name of an organisation, bytes. */
#define ORG_KEY_MAX 512
#define ORG_NAME_MAX 256
/* Length of a key's digest in logs, with its terminator. */
#define ORG_DIGEST_TEXT 17

/* An amount of capacity, or a limit of it. */
struct org_amount {
	uint64_t cpu; /* thousandths of a core */
	uint64_t mem_mb;
	uint64_t gpus;
};

struct org {
	char *name;
	GPtrArray *keys; /* char *; never to be logged or shown */
	double weight; /* its share of a full pool, against the others' */
	/* most that may run for it at a time; 0: no limit of that part */
	struct org_amount limit;
};

/* The organisations of one configuration, by name and by key. */
struct orgs;

/* Why an organisation is not valid. */
enum org_fault {
	ORG_VALID,
	ORG_BAD_NAME, /* empty or too long */
	ORG_SAME_NAME, /* another organisation has the name */
	ORG_BAD_KEY, /* empty, too long, or no header can carry it */
	ORG_SAME_KEY, /* the key is listed twice or is another's */
	ORG_FAULTS
};

struct org *org_new(const char *name);
void org_free(gpointer p);
void org_add_key(struct org *o, struct lstr key);
bool org_key_is_valid(struct lstr key);
void org_key_digest(struct lstr key, char out[ORG_DIGEST_TEXT]);

struct orgs *orgs_new(void);
void orgs_free(struct orgs *all);
enum org_fault orgs_add(struct orgs *all, struct org *o);
guint orgs_count(const struct orgs *all);
const struct org *orgs_at(const struct orgs *all, guint i);
const struct org *orgs_by_name(const struct orgs *all, const char *name);
const struct org *orgs_by_key(const struct orgs *all, struct lstr key);
const char *org_fault_name(enum org_fault fault);

#endif
