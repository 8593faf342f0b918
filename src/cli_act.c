#include "cli.h"

#include <stdio.h>

/* Commands that change one thing: drain, undrain, move, priority. */

/* What an operator sees of an object before changing it. */
struct cli_seen {
	uint64_t stamp;
	char *pool;
};

static int cli_see_vm(struct cli *c, const char *vm, struct cli_seen *seen);
static int cli_see_pool(struct cli *c, const char *pool, struct cli_seen *seen);
static int cli_confirm(struct cli *c, const char *what, const char *pool);
static int cli_finish(struct cli *c, struct fcm_cmd *cmd);

/* Looks a VM up; what it shows is the base of the change. */
static int cli_see_vm(struct cli *c, const char *vm, struct cli_seen *seen)
{
	struct cli_reply reply;
	struct qtb_in t;
	guint i;
	int rc = cli_ask(c, "vms", vm, &t, &reply);

	*seen = (struct cli_seen){0};
	if (rc != CLI_OK)
		return rc;
	for (i = 0; i < t.n_rows; i++) {
		const struct qtb_cell *name = qtb_cell(&t, i, "vm");
		const struct qtb_cell *stamp = qtb_cell(&t, i, "stamp");
		const struct qtb_cell *pool = qtb_cell(&t, i, "pool");

		if (!name || !stamp || !pool ||
		    !lstr_eq(name->str, lstr_from(vm)))
			continue;
		seen->stamp = (uint64_t)stamp->num;
		seen->pool = lstr_dup(pool->str);
	}
	if (!seen->pool) {
		fprintf(stderr, "endivectl: no VM %s\n", vm);
		rc = CLI_REFUSED;
	}
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return rc;
}

static int cli_see_pool(struct cli *c, const char *pool, struct cli_seen *seen)
{
	struct cli_reply reply;
	struct qtb_in t;
	const struct qtb_cell *stamp;
	int rc = cli_ask(c, "pools", pool, &t, &reply);

	*seen = (struct cli_seen){0};
	if (rc != CLI_OK)
		return rc;
	stamp = t.n_rows ? qtb_cell(&t, 0, "stamp") : NULL;
	if (stamp) {
		seen->stamp = (uint64_t)stamp->num;
	} else {
		fprintf(stderr, "endivectl: no pool %s\n", pool);
		rc = CLI_REFUSED;
	}
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return rc;
}

/* Shows what a change means for a pool; without --yes it ends there. */
static int cli_confirm(struct cli *c, const char *what, const char *pool)
{
	struct cli_reply reply;
	struct qtb_in t;
	int rc;

	if (c->set.yes)
		return CLI_OK;
	rc = cli_ask(c, "pools", pool, &t, &reply);
	if (rc != CLI_OK)
		return rc;
	fprintf(stderr,
		"endivectl: %s takes a VM out of pool %s, which now is:\n",
		what, pool);
	cli_print(c, &t);
	fprintf(stderr, "endivectl: not done; give --yes to do it\n");
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return CLI_USAGE;
}

static int cli_finish(struct cli *c, struct fcm_cmd *cmd)
{
	struct fcm_result result;
	int rc = cli_submit(c, cmd, &result);

	if (rc == CLI_OK)
		fcm_result_clear(&result);
	return rc;
}

/* Drains or undrains a VM, or with --target one target by its name. */
int cli_do_drain(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	bool drain = strcmp(cmd->name, "drain") == 0;
	struct cli_seen seen = {0};
	struct fcm_cmd act = {.kind = drain ? FCM_DRAIN : FCM_UNDRAIN};
	int rc = CLI_OK;

	if (!c->set.target)
		rc = cli_see_vm(c, args[0], &seen);
	if (rc == CLI_OK && drain && !c->set.target)
		rc = cli_confirm(c, "drain", seen.pool);
	if (rc == CLI_OK) {
		act.drain =
			(struct fcm_drain){.target = c->set.target,
					   .name = lstr_from(args[0]),
					   .base = seen.stamp,
					   .reason = lstr_from(c->set.reason)};
		rc = cli_finish(c, &act);
	}
	g_free(seen.pool);
	return rc;
}

/* Moves a VM to a pool, or calls its move off. */
int cli_do_move(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_seen seen = {0};
	struct fcm_cmd act = {.kind = FCM_MOVE};
	int rc = cli_see_vm(c, args[0], &seen);

	if (rc == CLI_OK && strcmp(seen.pool, args[1]) != 0)
		rc = cli_confirm(c, "move", seen.pool);
	if (rc == CLI_OK) {
		act.move =
			(struct fcm_move){.vm = lstr_from(args[0]),
					  .pool = lstr_from(args[1]),
					  .base = seen.stamp,
					  .reason = lstr_from(c->set.reason)};
		rc = cli_finish(c, &act);
	}
	g_free(seen.pool);
	return rc;
}

/* Sets the priority of a pool, or with "clear" gives it back. */
int cli_do_priority(struct cli *c, const struct cli_cmd *cmd, char **args,
		    int n)
{
	struct cli_seen seen = {0};
	struct fcm_cmd act = {.kind = FCM_PRIORITY};
	unsigned long long v = 0;
	bool clear = strcmp(args[1], "clear") == 0;
	int rc;

	if (!clear &&
	    (!lstr_u64(lstr_from(args[1]), &v) ||
	     v > (unsigned long long)cfg_keys[CFG_POOL_PRIORITY].max)) {
		fprintf(stderr,
			"endivectl: priority %s: allowed: 0 to %lld, or "
			"clear\n",
			args[1], (long long)cfg_keys[CFG_POOL_PRIORITY].max);
		return CLI_USAGE;
	}
	rc = cli_see_pool(c, args[0], &seen);
	if (rc != CLI_OK)
		return rc;
	act.priority = (struct fcm_priority){
		.pool = lstr_from(args[0]),
		.priority = clear ? FCM_NO_PRIORITY : (int64_t)v,
		.base = seen.stamp,
		.reason = lstr_from(c->set.reason)};
	return cli_finish(c, &act);
}

/*
 * Takes an entry daemon out of those a move waits for. One that still runs,
 * cut off, could place work on a VM that has moved: so it needs --yes.
 */
int cli_do_forget(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct fcm_cmd act = {.kind = FCM_FORGET,
			      .node = {.node = lstr_from(args[0]),
				       .reason = lstr_from(c->set.reason)}};

	if (c->set.yes)
		return cli_finish(c, &act);
	fprintf(stderr,
		"endivectl: %s must have stopped for good: if it runs on, cut "
		"off, it may place work on VMs that have moved. Not done; give "
		"--yes to do it\n",
		args[0]);
	return CLI_USAGE;
}
