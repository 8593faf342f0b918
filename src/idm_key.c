#include "idm.h"

#define IDM_MINUTE_MS 60000

static bool idm_parse_hex(struct lstr s, uint64_t *out);

/*
 * Returns the prefix "ZONE.EPOCH.MINUTE" that a caller completes to make a key
 * of this zone's store, to be freed with g_free. wall_ms: time since 1970.
 */
char *idm_key_prefix(const char *zone, uint64_t epoch, int64_t wall_ms)
{
	return g_strdup_printf("%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
			       "x",
			       zone, epoch,
			       (uint64_t)(wall_ms / IDM_MINUTE_MS));
}

/*
 * Parses a key; false if text is malformed. The strings in *out point into
 * text.
 */
bool idm_key_parse(struct lstr text, struct idm_key *out)
{
	struct lstr epoch;
	struct lstr minute;
	size_t i;

	if (text.len > IDM_KEY_MAX)
		return false;
	for (i = 0; i < text.len; i++)
		if (!g_ascii_isgraph(text.p[i]))
			return false;
	return lstr_cut(text, '.', &out->zone, &text) && out->zone.len &&
	       lstr_cut(text, '.', &epoch, &text) &&
	       idm_parse_hex(epoch, &out->epoch) &&
	       lstr_cut(text, '.', &minute, &out->rest) &&
	       idm_parse_hex(minute, &out->minute) && out->rest.len;
}

/*
 * Whether a key may still be claimed. An older key may have been claimed and
 * its record removed since: accepting it as new would run its request twice.
 */
enum idm_age idm_key_age(const struct idm_key *key, int64_t wall_ms)
{
	uint64_t now = (uint64_t)(wall_ms / IDM_MINUTE_MS);

	if (key->minute > now + IDM_CLOCK_SKEW_MINUTES)
		return IDM_AGE_FUTURE;
	if (key->minute + IDM_KEY_VALID_MINUTES < now)
		return IDM_AGE_OLD;
	return IDM_AGE_OK;
}

static bool idm_parse_hex(struct lstr s, uint64_t *out)
{
	uint64_t v = 0;
	size_t i;

	if (s.len == 0 || s.len > 16)
		return false;
	for (i = 0; i < s.len; i++) {
		int digit = g_ascii_xdigit_value(s.p[i]);

		if (digit < 0)
			return false;
		v = v << 4 | (uint64_t)digit;
	}
	*out = v;
	return true;
}
