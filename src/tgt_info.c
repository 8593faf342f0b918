#include "tgt.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "err.h"

#define TGT_NAME_MAX 63
#define TGT_FORM_MAX 4096
#define TGT_SLOTS_MAX 1000000

static bool tgt_name_valid(const char *s);
static bool tgt_addr_valid(const char *s);
static bool tgt_parse_field(struct tgt_info *info, const char *key,
			    const char *value);

/* Frees the strings of info and clears it. */
void tgt_info_clear(struct tgt_info *info)
{
	g_free(info->name);
	g_free(info->service);
	g_free(info->addr);
	g_free(info->zone);
	g_free(info->vm);
	*info = (struct tgt_info){0};
}

/* Checks every field; false with ERR_INPUT that names the first invalid one. */
bool tgt_info_check(const struct tgt_info *info, GError **err)
{
	const struct {
		const char *field;
		bool ok;
		const char *allowed;
	} checks[] = {
		{"name", tgt_name_valid(info->name),
		 "1 to 63 of A-Z a-z 0-9 . _ -"},
		{"service", tgt_name_valid(info->service),
		 "1 to 63 of A-Z a-z 0-9 . _ -"},
		{"addr", tgt_addr_valid(info->addr), "IP:PORT"},
		{"zone", tgt_name_valid(info->zone),
		 "1 to 63 of A-Z a-z 0-9 . _ -"},
		{"vm", tgt_name_valid(info->vm),
		 "1 to 63 of A-Z a-z 0-9 . _ -"},
		{"slots", info->slots > 0 && info->slots <= TGT_SLOTS_MAX,
		 "1 to 1000000"},
		{"conns", info->conns > 0 && info->conns <= TGT_SLOTS_MAX,
		 "1 to 1000000"},
		{"seq", info->seq > 0, "1 and more"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checks); i++) {
		if (checks[i].ok)
			continue;
		err_set(err, ERR_INPUT, "read announcement", info->name,
			"%s missing or not allowed; allowed: %s",
			checks[i].field, checks[i].allowed);
		return false;
	}
	return true;
}

/*
 * Parses an announcement, a form that a target posts. False with ERR_INPUT;
 * info is then empty. Unknown fields are ignored, so that newer targets can
 * announce themselves to older daemons.
 */
bool tgt_parse_form(struct lstr form, struct tgt_info *info, GError **err)
{
	struct evkeyvalq fields;
	struct evkeyval *kv;
	char *text;
	bool ok;

	*info = (struct tgt_info){0};
	if (form.len > TGT_FORM_MAX || memchr(form.p, '\0', form.len)) {
		err_set(err, ERR_INPUT, "read announcement", NULL,
			"larger than %d bytes, or not text", TGT_FORM_MAX);
		return false;
	}
	text = lstr_dup(form);
	ok = evhttp_parse_query_str(text, &fields) == 0;
	g_free(text);
	if (!ok) {
		err_set(err, ERR_INPUT, "read announcement", NULL,
			"not a form");
		return false;
	}
	TAILQ_FOREACH(kv, &fields, next)
		if (!tgt_parse_field(info, kv->key, kv->value))
			ok = false;
	evhttp_clear_headers(&fields);
	if (!ok)
		err_set(err, ERR_INPUT, "read announcement", info->name,
			"a number that is none, or a state other than "
			"serving or leaving");
	if (ok && tgt_info_check(info, err))
		return true;
	tgt_info_clear(info);
	return false;
}

/* Packs the report of a target that its home sends to other entry daemons. */
void tgt_pack(struct pk_out *o, const struct tgt_info *info, bool expired)
{
	pk_arr(o, 12);
	pk_cstr(o, info->name);
	pk_cstr(o, info->service);
	pk_cstr(o, info->addr);
	pk_cstr(o, info->zone);
	pk_cstr(o, info->vm);
	pk_u(o, (uint64_t)info->slots);
	pk_u(o, (uint64_t)info->conns);
	pk_u(o, (uint64_t)info->busy);
	pk_bool(o, info->leaving);
	pk_u(o, info->boot);
	pk_u(o, info->seq);
	pk_bool(o, expired);
}

static int tgt_unpack_count(struct pk_in *in)
{
	/*
	 * Read into a variable, since MIN evaluates the smaller argument twice.
	 */
	uint64_t n = pk_get_u(in);

	return (int)MIN(n, G_MAXINT);
}

/* Unpacks what tgt_pack wrote; false leaves info empty. */
bool tgt_unpack(struct pk_in *in, struct tgt_info *info, bool *expired)
{
	struct pk_in rec = pk_get_arr(in);

	*info = (struct tgt_info){0};
	info->name = lstr_dup(pk_get_str(&rec));
	info->service = lstr_dup(pk_get_str(&rec));
	info->addr = lstr_dup(pk_get_str(&rec));
	info->zone = lstr_dup(pk_get_str(&rec));
	info->vm = lstr_dup(pk_get_str(&rec));
	info->slots = tgt_unpack_count(&rec);
	info->conns = tgt_unpack_count(&rec);
	info->busy = tgt_unpack_count(&rec);
	info->leaving = pk_get_bool(&rec);
	info->boot = pk_get_u(&rec);
	info->seq = pk_get_u(&rec);
	*expired = pk_get_bool(&rec);
	if (pk_in_ok(&rec) && tgt_info_check(info, NULL))
		return true;
	tgt_info_clear(info);
	return false;
}

static bool tgt_name_valid(const char *s)
{
	const char *p;

	if (!s || !*s || strlen(s) > TGT_NAME_MAX)
		return false;
	for (p = s; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("._-", *p))
			return false;
	return true;
}

static bool tgt_addr_valid(const char *s)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	return s && strchr(s, ':') &&
	       evutil_parse_sockaddr_port(s, (struct sockaddr *)&ss, &len) == 0;
}

static bool tgt_parse_number(const char *value, unsigned long long max,
			     unsigned long long *out)
{
	return lstr_u64(lstr_from(value), out) && *out <= max;
}

static bool tgt_parse_field(struct tgt_info *info, const char *key,
			    const char *value)
{
	const struct {
		const char *key;
		char **dest;
	} texts[] = {
		{"name", &info->name}, {"service", &info->service},
		{"addr", &info->addr}, {"zone", &info->zone},
		{"vm", &info->vm},
	};
	const struct {
		const char *key;
		int *dest;
	} numbers[] = {
		{"slots", &info->slots},
		{"conns", &info->conns},
		{"busy", &info->busy},
	};
	const struct {
		const char *key;
		uint64_t *dest;
	} wide_numbers[] = {
		{"boot", &info->boot},
		{"seq", &info->seq},
	};
	unsigned long long v;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		if (strcmp(key, texts[i].key) != 0)
			continue;
		g_free(*texts[i].dest);
		*texts[i].dest = g_strdup(value);
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (strcmp(key, numbers[i].key) != 0)
			continue;
		if (!tgt_parse_number(value, G_MAXINT, &v))
			return false;
		*numbers[i].dest = (int)v;
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(wide_numbers); i++) {
		if (strcmp(key, wide_numbers[i].key) != 0)
			continue;
		if (!tgt_parse_number(value, G_MAXUINT64, &v))
			return false;
		*wide_numbers[i].dest = v;
		return true;
	}
	if (strcmp(key, "state") == 0) {
		info->leaving = strcmp(value, "leaving") == 0;
		return info->leaving || strcmp(value, "serving") == 0;
	}
	return true;
}
