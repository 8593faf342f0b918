#include "cli.h"

#include <math.h>
#include <stdio.h>

/* Commands that hold for a while: floor, weight. */

static bool cli_read_vms(const char *text, int64_t *out);
static bool cli_read_weight(const char *text, int64_t *out);

/* What each command takes as its value. */
static const struct {
	const char *name;
	enum fcm_kind kind;
	const char *allowed;
	bool (*read)(const char *text, int64_t *out);
} cli_overrides[] = {
	{"floor", FCM_FLOOR, "a whole number of VMs, or clear", cli_read_vms},
	{"weight", FCM_WEIGHT, "0.001 to 1000000, or clear", cli_read_weight},
};

/* Orders a floor or a weight for the seconds of --for, or clears it. */
int cli_do_override(struct cli *c, const struct cli_cmd *cmd, char **args,
		    int n)
{
	struct fcm_cmd act = {.kind = FCM_FLOOR};
	struct fcm_result result;
	size_t i = 0;
	int rc;

	while (strcmp(cli_overrides[i].name, cmd->name) != 0)
		i++;
	act.kind = cli_overrides[i].kind;
	act.override = (struct fcm_override){
		.name = lstr_from(args[0]),
		.value = FCM_NO_OVERRIDE,
		.for_ms = c->set.for_s * 1000,
		.reason = lstr_from(c->set.reason ? c->set.reason : ""),
	};
	if (strcmp(args[1], "clear") != 0 &&
	    !cli_overrides[i].read(args[1], &act.override.value)) {
		fprintf(stderr, "endivectl: %s %s: allowed: %s\n", cmd->name,
			args[1], cli_overrides[i].allowed);
		return CLI_USAGE;
	}
	rc = cli_submit(c, &act, &result);
	if (rc == CLI_OK)
		fcm_result_clear(&result);
	return rc;
}

/* Reads a number of VMs. */
static bool cli_read_vms(const char *text, int64_t *out)
{
	unsigned long long v;

	if (!lstr_u64(lstr_from(text), &v) || v > INT32_MAX)
		return false;
	*out = (int64_t)v;
	return true;
}

/* Reads a weight into thousandths. */
static bool cli_read_weight(const char *text, int64_t *out)
{
	char *end = NULL;
	double v = g_ascii_strtod(text, &end);

	if (end == text || *end || !isfinite(v) || v < 1.0 / FCM_WEIGHT_UNIT ||
	    v > 1e6)
		return false;
	*out = (int64_t)llround(v * FCM_WEIGHT_UNIT);
	return true;
}
