#include "org.h"

#include <sodium.h>

/* Bytes of the digest by which keys are looked up. */
#define ORG_DIGEST_BYTES 16
/* Of these, the bytes that a log line shows. */
#define ORG_DIGEST_SHOWN ((ORG_DIGEST_TEXT - 1) / 2)

struct orgs {
	GPtrArray *list; /* struct org */
	GHashTable *by_name; /* struct org */
	GHashTable *by_digest; /* GBytes: struct org */
};

static GBytes *org_digest(struct lstr key);
static enum org_fault orgs_check(const struct orgs *all, const struct org *o);
static enum org_fault orgs_check_keys(const struct orgs *all,
				      const struct org *o);

static const char *const org_fault_names[ORG_FAULTS] = {
	[ORG_VALID] = "valid",
	[ORG_BAD_NAME] = "its name is empty or too long",
	[ORG_SAME_NAME] = "another organisation has its name",
	[ORG_BAD_KEY] = "a key is empty, too long, or not printable ASCII",
	[ORG_SAME_KEY] = "a key is listed twice",
};

/* Returns an organisation without keys and without limits. */
struct org *org_new(const char *name)
{
	struct org *o = g_new0(struct org, 1);

	o->name = g_strdup(name);
	o->keys = g_ptr_array_new_with_free_func(g_free);
	return o;
}

/* Frees an organisation. */
void org_free(gpointer p)
{
	struct org *o = p;

	g_ptr_array_free(o->keys, TRUE);
	g_free(o->name);
	g_free(o);
}

/* Adds a key, which is copied; orgs_add checks it. */
void org_add_key(struct org *o, struct lstr key)
{
	g_ptr_array_add(o->keys, lstr_dup(key));
}

/* Whether a key can be carried by a header: printable ASCII without spaces. */
bool org_key_is_valid(struct lstr key)
{
	size_t i;

	for (i = 0; i < key.len; i++)
		if (!g_ascii_isgraph(key.p[i]))
			return false;
	return key.len > 0 && key.len <= ORG_KEY_MAX;
}

/*
 * Returns the digest of a key under a secret of this process. Keys are compared
 * by it: how long a lookup takes then tells nothing about the key, as nobody
 * outside can choose or compute digests.
 */
static GBytes *org_digest(struct lstr key)
{
	static uint8_t secret[crypto_generichash_KEYBYTES];
	static gsize ready;
	uint8_t out[ORG_DIGEST_BYTES];

	if (g_once_init_enter(&ready)) {
		randombytes_buf(secret, sizeof(secret));
		g_once_init_leave(&ready, 1);
	}
	crypto_generichash(out, sizeof(out), (const uint8_t *)key.p, key.len,
			   secret, sizeof(secret));
	return g_bytes_new(out, sizeof(out));
}

/*
 * Writes a short digest of a key, by which log lines of one process tell keys
 * apart without showing them.
 */
void org_key_digest(struct lstr key, char out[ORG_DIGEST_TEXT])
{
	GBytes *digest = org_digest(key);

	sodium_bin2hex(out, ORG_DIGEST_TEXT, g_bytes_get_data(digest, NULL),
		       ORG_DIGEST_SHOWN);
	g_bytes_unref(digest);
}

/* Returns an empty set of organisations. */
struct orgs *orgs_new(void)
{
	struct orgs *all = g_new0(struct orgs, 1);

	all->list = g_ptr_array_new_with_free_func(org_free);
	all->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	all->by_digest =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, NULL);
	return all;
}

/* Frees a set with its organisations. */
void orgs_free(struct orgs *all)
{
	g_hash_table_destroy(all->by_name);
	g_hash_table_destroy(all->by_digest);
	g_ptr_array_free(all->list, TRUE);
	g_free(all);
}

/*
 * Adds an organisation and takes ownership of it. An organisation that is not
 * valid is freed, and the fault is returned.
 */
enum org_fault orgs_add(struct orgs *all, struct org *o)
{
	enum org_fault fault = orgs_check(all, o);
	guint i;

	if (fault != ORG_VALID) {
		org_free(o);
		return fault;
	}
	g_ptr_array_add(all->list, o);
	g_hash_table_insert(all->by_name, o->name, o);
	for (i = 0; i < o->keys->len; i++) {
		const char *key = g_ptr_array_index(o->keys, i);

		g_hash_table_insert(all->by_digest, org_digest(lstr_from(key)),
				    o);
	}
	return ORG_VALID;
}

/* Returns what keeps an organisation from being added. */
static enum org_fault orgs_check(const struct orgs *all, const struct org *o)
{
	size_t len = o->name ? strlen(o->name) : 0;

	if (!len || len > ORG_NAME_MAX)
		return ORG_BAD_NAME;
	if (orgs_by_name(all, o->name))
		return ORG_SAME_NAME;
	return orgs_check_keys(all, o);
}

/* Returns the first fault of an organisation's keys. */
static enum org_fault orgs_check_keys(const struct orgs *all,
				      const struct org *o)
{
	GHashTable *own = g_hash_table_new(g_str_hash, g_str_equal);
	enum org_fault fault = ORG_VALID;
	guint i;

	for (i = 0; fault == ORG_VALID && i < o->keys->len; i++) {
		char *key = g_ptr_array_index(o->keys, i);

		if (!org_key_is_valid(lstr_from(key)))
			fault = ORG_BAD_KEY;
		else if (!g_hash_table_add(own, key) ||
			 orgs_by_key(all, lstr_from(key)))
			fault = ORG_SAME_KEY;
	}
	g_hash_table_destroy(own);
	return fault;
}

/* Returns the number of organisations. */
guint orgs_count(const struct orgs *all)
{
	return all->list->len;
}

/* Returns an organisation by its place in the configuration. */
const struct org *orgs_at(const struct orgs *all, guint i)
{
	return g_ptr_array_index(all->list, i);
}

/* Returns the organisation of a name, or NULL. */
const struct org *orgs_by_name(const struct orgs *all, const char *name)
{
	return g_hash_table_lookup(all->by_name, name);
}

/* Returns the organisation that a key belongs to, or NULL. */
const struct org *orgs_by_key(const struct orgs *all, struct lstr key)
{
	GBytes *digest;
	const struct org *found;

	if (!org_key_is_valid(key))
		return NULL;
	digest = org_digest(key);
	found = g_hash_table_lookup(all->by_digest, digest);
	g_bytes_unref(digest);
	return found;
}

/* Returns a fault in words. */
const char *org_fault_name(enum org_fault fault)
{
	return org_fault_names[fault];
}
