#include "nst.h"

#include <string.h>

#include "div.h"
#include "dom.h"
#include "err.h"
#include "msg.h"
#include "vtp.h"

/* Type of a setting's value. */
enum nst_kind {
	NST_TEXT, /* char * */
	NST_NAME, /* char *, up to 31 characters, the limit in messages */
	NST_ADDR, /* char *, IP:PORT */
	NST_ADDRS, /* char **, comma-separated IP:PORT */
	NST_BOOL, /* bool */
	NST_INT, /* long long */
	NST_INTAKE, /* const struct itk_way * */
	NST_VOTERS, /* const struct vtp * */
	NST_DOMAINS, /* const struct dom_way * */
	NST_DIVISION, /* char *, name of a struct div_way */
};

/* Definition of a setting. */
struct nst_def {
	const char *group;
	const char *key;
	enum nst_kind kind;
	size_t offset; /* in struct nst */
	bool required;
	const char *dflt; /* default as text; NULL: none */
	long long min;
	long long max;
};

#define NST_OFFSET(field) offsetof(struct nst, field)

static const struct nst_def nst_defs[] = {
	{"node", "name", NST_NAME, NST_OFFSET(node), true, NULL, 0, 0},
	{"node", "zone", NST_NAME, NST_OFFSET(zone), true, NULL, 0, 0},
	{"node", "wire", NST_ADDR, NST_OFFSET(wire), true, NULL, 0, 0},
	{"node", "callers", NST_ADDR, NST_OFFSET(callers), false, NULL, 0, 0},
	{"node", "ready", NST_ADDR, NST_OFFSET(ready), false, NULL, 0, 0},
	{"node", "control", NST_ADDR, NST_OFFSET(control), false, NULL, 0, 0},
	{"node", "metrics", NST_ADDR, NST_OFFSET(metrics), false, NULL, 0, 0},
	{"node", "vms", NST_ADDR, NST_OFFSET(vms), false, NULL, 0, 0},
	{"node", "advice", NST_ADDR, NST_OFFSET(advice), false, NULL, 0, 0},
	{"node", "intake", NST_INTAKE, NST_OFFSET(intake), false, "all", 0, 0},
	{"node", "orders", NST_TEXT, NST_OFFSET(orders), false, NULL, 0, 0},
	{"node", "data", NST_TEXT, NST_OFFSET(data), false, NULL, 0, 0},
	{"node", "keys", NST_TEXT, NST_OFFSET(keys), false, NULL, 0, 0},
	{"node", "seeds", NST_ADDRS, NST_OFFSET(seeds), true, NULL, 0, 0},
	{"node", "bootstrap", NST_BOOL, NST_OFFSET(bootstrap), false, "false",
	 0, 0},
	{"node", "open-network", NST_BOOL, NST_OFFSET(open_network), false,
	 "false", 0, 0},
	{"node", "log-level", NST_TEXT, NST_OFFSET(log_level), false, "notice",
	 0, 0},
	{"node", "shares", NST_TEXT, NST_OFFSET(shares), false, "recent", 0, 0},
	{"node", "division", NST_DIVISION, NST_OFFSET(division), false,
	 DIV_AUTO, 0, 0},
	{"node", "domains", NST_DOMAINS, NST_OFFSET(domains), false,
	 DOM_DEFAULT, 0, 0},
	{"bounds", "losses", NST_INT, NST_OFFSET(losses), false, "1", 0, 5},
	{"bounds", "voters", NST_VOTERS, NST_OFFSET(voters), false, "odd", 0,
	 0},
	{"bounds", "hold-max-ms", NST_INT, NST_OFFSET(hold_max_ms), false,
	 "10000", 1000, 600000},
	{"bounds", "vm-lease-ms", NST_INT, NST_OFFSET(vm_lease_ms), false,
	 "3000", 0, 600000},
	{"bounds", "carry-from", NST_INT, NST_OFFSET(relay_min_workers), false,
	 "150", 0, 1000000},
	{"bounds", "keep-s", NST_INT, NST_OFFSET(job_retention_ms), false,
	 "120", 1, 86400},
	{"bounds", "grace-s", NST_INT, NST_OFFSET(grace_ms), false, "6", 1,
	 3600},
	{"bounds", "memory-mb", NST_INT, NST_OFFSET(memory), false, "0", 0,
	 1000000},
	{"bounds", "descriptors", NST_INT, NST_OFFSET(descriptors), false, "0",
	 0, 10000000},
	{"bounds", "descriptors-kept", NST_INT,
	 NST_OFFSET(descriptors_reserved), false, "0", 0, 10000000},
	{"bounds", "body-max", NST_INT, NST_OFFSET(body_max), false, "1048576",
	 1024, 16777216},
};

static bool nst_read_setting(struct nst *s, GKeyFile *f,
			     const struct nst_def *d, GError **err);
static bool nst_parse_int(struct nst *s, const struct nst_def *d,
			  const char *text, GError **err);
static bool nst_parse_addrs(struct nst *s, const struct nst_def *d,
			    const char *text, GError **err);
static bool nst_parse_division(struct nst *s, const struct nst_def *d,
			       const char *text, GError **err);
static bool nst_is_addr(const char *text);
static bool nst_reject(GError **err, const struct nst *s,
		       const struct nst_def *d, const char *text,
		       const char *allowed);
static void nst_set_seed_ports(struct nst *s);

/*
 * Reads and checks a settings file. Returns NULL with ERR_INPUT, which names
 * the file or the invalid setting.
 */
struct nst *nst_load(const char *path, GError **err)
{
	struct nst *s = g_new0(struct nst, 1);
	GKeyFile *f = g_key_file_new();
	GError *load_err = NULL;
	bool ok = true;
	size_t i;

	s->path = g_strdup(path);
	if (!g_key_file_load_from_file(f, path, G_KEY_FILE_NONE, &load_err)) {
		err_set(err, ERR_INPUT, "read settings", NULL, "%s: %s", path,
			load_err->message);
		g_clear_error(&load_err);
		ok = false;
	}
	for (i = 0; ok && i < G_N_ELEMENTS(nst_defs); i++)
		ok = nst_read_setting(s, f, &nst_defs[i], err);
	g_key_file_free(f);
	if (!ok) {
		nst_free(s);
		return NULL;
	}
	s->job_retention_ms *= 1000;
	s->grace_ms *= 1000;
	s->memory <<= 20;
	nst_set_seed_ports(s);
	return s;
}

/* Frees settings; NULL is allowed. */
void nst_free(struct nst *s)
{
	if (!s)
		return;
	g_free(s->path);
	g_free(s->node);
	g_free(s->zone);
	g_free(s->wire);
	g_free(s->callers);
	g_free(s->ready);
	g_free(s->control);
	g_free(s->metrics);
	g_free(s->data);
	g_free(s->vms);
	g_free(s->advice);
	g_free(s->orders);
	g_free(s->keys);
	g_free(s->division);
	g_free(s->log_level);
	g_free(s->shares);
	g_strfreev(s->seeds);
	g_free(s);
}

/* Reads one setting, or its default, into its field of s. */
static bool nst_read_setting(struct nst *s, GKeyFile *f,
			     const struct nst_def *d, GError **err)
{
	char *text = g_key_file_get_string(f, d->group, d->key, NULL);
	void *value = (char *)s + d->offset;
	bool ok = true;

	if (text && !*g_strstrip(text))
		g_clear_pointer(&text, g_free);
	if (!text && d->dflt)
		text = g_strdup(d->dflt);
	if (!text)
		return !d->required ||
		       nst_reject(err, s, d, "",
				  "a value; the setting is required");
	switch (d->kind) {
	case NST_NAME:
		ok = strlen(text) <= 31 ||
		     nst_reject(err, s, d, text, "at most 31 characters");
		*(char **)value = g_strdup(text);
		break;
	case NST_TEXT:
		*(char **)value = g_strdup(text);
		break;
	case NST_ADDR:
		ok = nst_is_addr(text) ||
		     nst_reject(err, s, d, text, "IP:PORT");
		*(char **)value = g_strdup(text);
		break;
	case NST_ADDRS:
		ok = nst_parse_addrs(s, d, text, err);
		break;
	case NST_BOOL:
		ok = strcmp(text, "true") == 0 || strcmp(text, "false") == 0 ||
		     nst_reject(err, s, d, text, "true or false");
		*(bool *)value = strcmp(text, "true") == 0;
		break;
	case NST_INTAKE:
		*(const struct itk_way **)value = itk_way(text);
		ok = itk_way(text) ||
		     nst_reject(err, s, d, text, itk_way_names());
		break;
	case NST_INT:
		ok = nst_parse_int(s, d, text, err);
		break;
	case NST_VOTERS:
		*(const struct vtp **)value = vtp_find(text);
		ok = *(const struct vtp **)value ||
		     nst_reject(err, s, d, text, "odd, all or fewest");
		break;
	case NST_DOMAINS:
		*(const struct dom_way **)value = dom_find_way(text);
		ok = dom_find_way(text) ||
		     nst_reject(err, s, d, text, dom_way_names());
		break;
	case NST_DIVISION:
		ok = nst_parse_division(s, d, text, err);
		break;
	}
	g_free(text);
	return ok;
}

/* Parses a whole number and checks its range. */
static bool nst_parse_int(struct nst *s, const struct nst_def *d,
			  const char *text, GError **err)
{
	char *end = NULL;
	long long v = g_ascii_strtoll(text, &end, 10);
	char allowed[80];

	if (end != text && *end == '\0' && v >= d->min && v <= d->max) {
		*(long long *)((char *)s + d->offset) = v;
		return true;
	}
	g_snprintf(allowed, sizeof(allowed), "a whole number, %lld to %lld",
		   d->min, d->max);
	return nst_reject(err, s, d, text, allowed);
}

/* Parses a comma-separated list of addresses. */
static bool nst_parse_addrs(struct nst *s, const struct nst_def *d,
			    const char *text, GError **err)
{
	char **list = g_strsplit(text, ",", -1);
	char **p;

	*(char ***)((char *)s + d->offset) = list;
	for (p = list; *p; p++)
		if (!nst_is_addr(g_strstrip(*p)))
			return nst_reject(err, s, d, *p,
					  "IP:PORT, with commas between");
	return true;
}

/* Takes the name of a rule that divides VMs. */
static bool nst_parse_division(struct nst *s, const struct nst_def *d,
			       const char *text, GError **err)
{
	g_autofree char *names = div_way_names();

	*(char **)((char *)s + d->offset) = g_strdup(text);
	return strcmp(text, DIV_AUTO) == 0 || div_find_way(text) ||
	       nst_reject(err, s, d, text, names);
}

/* Returns whether text has the form HOST:PORT with a port in 1..65535. */
static bool nst_is_addr(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	guint64 port;

	if (!colon || colon == text)
		return false;
	port = g_ascii_strtoull(colon + 1, &end, 10);
	return end != colon + 1 && *end == '\0' && port > 0 && port < 65536;
}

/* Sets the error for an invalid setting; always returns false. */
static bool nst_reject(GError **err, const struct nst *s,
		       const struct nst_def *d, const char *text,
		       const char *allowed)
{
	err_set(err, ERR_INPUT, "read settings", NULL,
		"%s: [%s] %s is \"%s\"; allowed: %s", s->path, d->group, d->key,
		text, allowed);
	return false;
}

/*
 * Replaces the port of each seed by the port of wire. The settings give the
 * addresses at which replicas serve operators; for own processes every replica
 * listens on the same port.
 */
static void nst_set_seed_ports(struct nst *s)
{
	const char *port = strrchr(s->wire, ':');
	char **p;

	for (p = s->seeds; *p; p++) {
		char *colon = strrchr(*p, ':');
		char *addr;

		*colon = '\0';
		addr = g_strconcat(*p, port, NULL);
		g_free(*p);
		*p = addr;
	}
}
