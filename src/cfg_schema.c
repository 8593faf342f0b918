#include "cfg_in.h"

typedef bool (*cfg_parse_fn)(const struct cfg_key_def *def, struct lstr text,
			     int64_t *num);

static bool cfg_parse_int(const struct cfg_key_def *def, struct lstr text,
			  int64_t *num);
static bool cfg_parse_bytes(const struct cfg_key_def *def, struct lstr text,
			    int64_t *num);
static bool cfg_parse_time(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num);
static bool cfg_parse_word(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num);
static bool cfg_parse_name(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num);
static bool cfg_parse_names(const struct cfg_key_def *def, struct lstr text,
			    int64_t *num);

/* A suffix and what it multiplies by. */
struct cfg_unit {
	const char *suffix;
	int64_t factor;
};

static const struct cfg_unit cfg_byte_units[] = {
	{"K", 1 << 10}, {"M", 1 << 20}, {"G", 1 << 30}, {"", 1}};
static const struct cfg_unit cfg_time_units[] = {
	{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}};

static const cfg_parse_fn cfg_parsers[CFG_TYPES] = {
	[CFG_INT] = cfg_parse_int,     [CFG_BYTES] = cfg_parse_bytes,
	[CFG_TIME] = cfg_parse_time,   [CFG_BOOL] = cfg_parse_word,
	[CFG_WORD] = cfg_parse_word,   [CFG_NAME] = cfg_parse_name,
	[CFG_NAMES] = cfg_parse_names, [CFG_REF] = cfg_parse_name,
};

/*
 * Limits hold the two-year size (9,200 VMs, 160 pools, 58 teams, 4 sites with
 * 16 zones) with some room, and keep every voter's state bounded.
 */
const struct cfg_kind_def cfg_kinds[CFG_KINDS] = {
	[CFG_FLEET] = {"fleet", false, 1, CFG_FLEET_NAME,
		       CFG_FLEET_WEIGHT_MOVES},
	[CFG_OVERLAY] = {"overlay", false, 1, CFG_OVERLAY_SITE,
			 CFG_OVERLAY_SITE},
	[CFG_SITE] = {"site", true, 8, CFG_SITE_ZONES, CFG_SITE_ZONES},
	[CFG_SIZE] = {"size", true, 64, CFG_SIZE_CORES, CFG_SIZE_ACCELERATORS},
	[CFG_POOL] = {"pool", true, 256, CFG_POOL_SERVICE, CFG_POOL_SURVIVES},
	[CFG_TEAM] = {"team", true, 128, CFG_TEAM_CORES, CFG_TEAM_JOBS},
	[CFG_JOB] = {"job", true, 2000, CFG_JOB_POOL, CFG_JOB_CLASS},
	[CFG_RACK] = {"rack", true, 4000, CFG_RACK_ZONE, CFG_RACK_ZONE},
};

#define CFG_GIB ((int64_t)1 << 30)
#define CFG_HOUR 3600000
#define CFG_DAY ((int64_t)24 * CFG_HOUR)

const struct cfg_key_def cfg_keys[CFG_KEYS] = {
	[CFG_FLEET_NAME] = {CFG_FLEET, "name", CFG_NAME},
	[CFG_FLEET_WEIGHT_BUFFER] = {CFG_FLEET, "weight-buffer", CFG_INT, "1",
				     0, 100},
	[CFG_FLEET_WEIGHT_ROLLOUT] = {CFG_FLEET, "weight-rollout", CFG_INT, "1",
				      0, 100},
	[CFG_FLEET_WEIGHT_MOVES] = {CFG_FLEET, "weight-moves", CFG_INT, "1", 0,
				    100},
	[CFG_OVERLAY_SITE] = {CFG_OVERLAY, "site", CFG_REF, .ref = CFG_SITE},
	[CFG_SITE_ZONES] = {CFG_SITE, "zones", CFG_NAMES, .min = 1, .max = 8},
	[CFG_SIZE_CORES] = {CFG_SIZE, "cores", CFG_INT, NULL, 1, 4096},
	[CFG_SIZE_MEMORY] = {CFG_SIZE, "memory", CFG_BYTES, NULL, 1 << 20,
			     16384 * CFG_GIB},
	[CFG_SIZE_ACCELERATORS] = {CFG_SIZE, "accelerators", CFG_INT, "0", 0,
				   64},
	[CFG_POOL_SERVICE] = {CFG_POOL, "service", CFG_NAME},
	[CFG_POOL_CAPACITY] = {CFG_POOL, "capacity", CFG_INT, NULL, 0, 10000,
			       .overlay = true},
	[CFG_POOL_SLOTS] = {CFG_POOL, "slots", CFG_INT, "8", 1, 10000,
			    .overlay = true},
	[CFG_POOL_CONNECTIONS] = {CFG_POOL, "connections", CFG_INT, "64", 1,
				  100000, .overlay = true},
	[CFG_POOL_DEADLINE] = {CFG_POOL, "deadline", CFG_TIME, "30s", 1,
			       24 * CFG_HOUR, .overlay = true},
	[CFG_POOL_MAX_BODY] = {CFG_POOL, "max-body", CFG_BYTES, "1M", 0,
			       CFG_GIB, .overlay = true},
	[CFG_POOL_MAX_ANSWER] = {CFG_POOL, "max-answer", CFG_BYTES, "1M", 0,
				 CFG_GIB, .overlay = true},
	[CFG_POOL_QUEUE_WAIT] = {CFG_POOL, "queue-wait", CFG_TIME, "1s", 0,
				 CFG_HOUR, .overlay = true},
	[CFG_POOL_PRIORITY] = {CFG_POOL, "priority", CFG_INT, "50", 0, 100,
			       .overlay = true},
	[CFG_POOL_BUDGET] = {CFG_POOL, "budget", CFG_INT, "0", 0, 10000,
			     .overlay = true},
	[CFG_POOL_BUDGET_ZONE] = {CFG_POOL, "budget-zone", CFG_INT, "10000", 0,
				  10000, .overlay = true},
	[CFG_POOL_BUDGET_RACK] = {CFG_POOL, "budget-rack", CFG_INT, "10000", 0,
				  10000, .overlay = true},
	[CFG_POOL_SURVIVES] = {CFG_POOL, "survives", CFG_WORD, "rack",
			       .words = "none|vm|rack|zone", .overlay = true},
	[CFG_TEAM_CORES] = {CFG_TEAM, "cores", CFG_INT, NULL, 0, 1000000,
			    .overlay = true},
	[CFG_TEAM_ACCELERATORS] = {CFG_TEAM, "accelerators", CFG_INT, "0", 0,
				   100000, .overlay = true},
	[CFG_TEAM_JOBS] = {CFG_TEAM, "jobs", CFG_INT, "1000", 0, 1000000,
			   .overlay = true},
	[CFG_JOB_POOL] = {CFG_JOB, "pool", CFG_REF, .ref = CFG_POOL},
	[CFG_JOB_TEAM] = {CFG_JOB, "team", CFG_REF, .ref = CFG_TEAM},
	[CFG_JOB_CORES] = {CFG_JOB, "cores", CFG_INT, "1", 1, 4096,
			   .overlay = true},
	[CFG_JOB_MEMORY] = {CFG_JOB, "memory", CFG_BYTES, "1G", 1 << 20,
			    16384 * CFG_GIB, .overlay = true},
	[CFG_JOB_ACCELERATORS] = {CFG_JOB, "accelerators", CFG_INT, "0", 0, 64,
				  .overlay = true},
	[CFG_JOB_RUN_TIME] = {CFG_JOB, "run-time", CFG_TIME, "1m", 1,
			      60 * CFG_DAY, .overlay = true},
	[CFG_JOB_IDEMPOTENT] = {CFG_JOB, "idempotent", CFG_BOOL, "no",
				.words = "no|yes"},
	[CFG_JOB_CHECKPOINT] = {CFG_JOB, "checkpoint", CFG_BOOL, "no",
				.words = "no|yes"},
	[CFG_JOB_CLASS] = {CFG_JOB, "class", CFG_WORD, "normal",
			   .words = "archive|normal|urgent", .overlay = true},
	[CFG_RACK_ZONE] = {CFG_RACK, "zone", CFG_NAME},
};

/* Letters, digits, ".", "_" and "-"; 1 to CFG_NAME_MAX of them. */
bool cfg_is_name(struct lstr s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.p[i]) && !strchr("._-", s.p[i]))
			return false;
	return s.len > 0 && s.len <= CFG_NAME_MAX;
}

/*
 * Checks a value by its key's definition; *num gets what the type says. A
 * reference is checked for its form only.
 */
bool cfg_parse(enum cfg_key key, const char *text, int64_t *num)
{
	const struct cfg_key_def *def = &cfg_keys[key];

	*num = 0;
	return cfg_parsers[def->type](def, lstr_from(text), num);
}

/* What a key may be, in words; freed with g_free. */
char *cfg_allowed(enum cfg_key key)
{
	const struct cfg_key_def *def = &cfg_keys[key];
	long long min = (long long)def->min;
	long long max = (long long)def->max;

	switch (def->type) {
	case CFG_INT:
		return g_strdup_printf(
			"allowed: a whole number from %lld to %lld", min, max);
	case CFG_BYTES:
		return g_strdup_printf("allowed: bytes from %lld to %lld, with "
				       "K, M or G where wanted",
				       min, max);
	case CFG_TIME:
		return g_strdup_printf("allowed: a time with ms, s, m or h, "
				       "from %lldms to %lldms",
				       min, max);
	case CFG_NAMES:
		return g_strdup_printf("allowed: %lld to %lld names with "
				       "blanks between",
				       min, max);
	case CFG_REF:
		return g_strdup_printf("allowed: the name of a [%s NAME]",
				       cfg_kinds[def->ref].name);
	case CFG_BOOL:
	case CFG_WORD:
		return g_strdup_printf("allowed: %s", def->words);
	default:
		return g_strdup_printf("allowed: letters, digits, \".\", "
				       "\"_\", \"-\", up to %d characters",
				       CFG_NAME_MAX);
	}
}

/* Whether both values mean the same: 2s and 2000ms do. */
bool cfg_same(enum cfg_key key, const struct cfg_val *a,
	      const struct cfg_val *b)
{
	switch (cfg_keys[key].type) {
	case CFG_INT:
	case CFG_BYTES:
	case CFG_TIME:
		return a->num == b->num;
	default:
		return g_str_equal(a->text, b->text);
	}
}

static bool cfg_parse_int(const struct cfg_key_def *def, struct lstr text,
			  int64_t *num)
{
	unsigned long long v;

	if (!lstr_u64(text, &v) || v > (unsigned long long)def->max ||
	    (int64_t)v < def->min)
		return false;
	*num = (int64_t)v;
	return true;
}

static bool cfg_parse_unit(const struct cfg_key_def *def, struct lstr text,
			   const struct cfg_unit *units, size_t n, int64_t *num)
{
	unsigned long long v;
	size_t digits = 0;
	size_t i;

	while (digits < text.len && g_ascii_isdigit(text.p[digits]))
		digits++;
	if (!lstr_u64(lstr_n(text.p, digits), &v) ||
	    v > (unsigned long long)G_MAXINT64)
		return false;
	for (i = 0; i < n; i++)
		if (lstr_eq(lstr_n(text.p + digits, text.len - digits),
			    lstr_from(units[i].suffix)))
			break;
	if (i == n || __builtin_mul_overflow((int64_t)v, units[i].factor, num))
		return false;
	return *num >= def->min && *num <= def->max;
}

static bool cfg_parse_bytes(const struct cfg_key_def *def, struct lstr text,
			    int64_t *num)
{
	return cfg_parse_unit(def, text, cfg_byte_units,
			      G_N_ELEMENTS(cfg_byte_units), num);
}

static bool cfg_parse_time(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num)
{
	return cfg_parse_unit(def, text, cfg_time_units,
			      G_N_ELEMENTS(cfg_time_units), num);
}

static bool cfg_parse_word(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num)
{
	struct lstr rest = lstr_from(def->words);
	struct lstr word;

	for (*num = 0; rest.len; (*num)++) {
		lstr_cut(rest, '|', &word, &rest);
		if (lstr_eq(word, text))
			return true;
	}
	return false;
}

static bool cfg_parse_name(const struct cfg_key_def *def, struct lstr text,
			   int64_t *num)
{
	return cfg_is_name(text);
}

static bool cfg_parse_names(const struct cfg_key_def *def, struct lstr text,
			    int64_t *num)
{
	struct lstr name;

	for (*num = 0; text.len; (*num)++) {
		lstr_cut(text, ' ', &name, &text);
		text = lstr_trim(text);
		if (!cfg_is_name(name))
			return false;
	}
	return *num >= def->min && *num <= def->max;
}
