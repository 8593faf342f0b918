#include <event2/event.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "cli.h"

static char *cli_summary(void);
static const struct cli_cmd *cli_find(const char *name);
static int cli_usage(const struct cli_cmd *cmd);
static int cli_run(struct cli *c, const struct cli_cmd *cmd, char **args,
		   int n);

static struct cli cli;

const struct set_def cli_defs[] = {
	{"servers", SET_ADDRS, &cli.set.servers, "", 0, 0, NULL,
	 "Voters to ask, in any order"},
	{"keys", SET_FILE, &cli.set.keys, "", 0, 0, NULL,
	 "Key file; its first key says who the operator is"},
	{"open-network", SET_FLAG, &cli.set.open_network, "0", 0, 0, NULL,
	 "Use no key: the network is the fleet's alone"},
	{"timeout", SET_INT, &cli.set.timeout_s, "10", 1, 3600, NULL,
	 "Seconds to wait for an answer, and to be in force"},
	{"json", SET_FLAG, &cli.set.json, "0", 0, 0, NULL,
	 "Print JSON for scripts"},
	{"yes", SET_FLAG, &cli.set.yes, "0", 0, 0, NULL,
	 "Do what takes a VM out of a pool"},
	{"target", SET_FLAG, &cli.set.target, "0", 0, 0, NULL,
	 "drain, undrain: the name is a target's"},
	{"base", SET_STR, &cli.set.base, "", 0, 0, NULL,
	 "apply: configuration the files were made from, or last"},
	{"against", SET_STR, &cli.set.against, "", 0, 0, NULL,
	 "diff: files with commas between, in place of those in force"},
	{"reason", SET_STR, &cli.set.reason, "", 0, 0, NULL,
	 "Why, for the audit trail"},
	{"after", SET_STR, &cli.set.after, "", 0, 0, NULL,
	 "audit: records that follow this number"},
	{"for", SET_INT, &cli.set.for_s, "600", 1, 604800, NULL,
	 "floor, weight: seconds for which it holds"},
};

const guint cli_defs_len = G_N_ELEMENTS(cli_defs);

static char *cli_summary(void)
{
	GString *s = g_string_new("Drives a fleet of endiveslip: endivectl "
				  "[SETTING...] COMMAND [ARGUMENT...]\n\n"
				  "Commands:\n");
	guint i;

	for (i = 0; i < cli_cmds_len; i++) {
		char *left = g_strdup_printf("%s %s", cli_cmds[i].name,
					     cli_cmds[i].args);

		g_string_append_printf(s, "  %-26s %s\n", left,
				       cli_cmds[i].help);
		g_free(left);
	}
	return g_string_free(s, FALSE);
}

static const struct cli_cmd *cli_find(const char *name)
{
	guint i;

	for (i = 0; i < cli_cmds_len; i++)
		if (strcmp(cli_cmds[i].name, name) == 0)
			return &cli_cmds[i];
	return NULL;
}

static int cli_usage(const struct cli_cmd *cmd)
{
	fprintf(stderr, "endivectl: usage: endivectl %s %s\n", cmd->name,
		cmd->args);
	return CLI_USAGE;
}

static int cli_run(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	GError *err = NULL;
	bool asks = cmd->asks && !c->set.against;
	struct event_base *base = NULL;
	int rc;

	if (n < cmd->min_args || (cmd->max_args >= 0 && n > cmd->max_args))
		return cli_usage(cmd);
	if (asks &&
	    (!c->set.servers || (!c->set.keys && !c->set.open_network))) {
		fprintf(stderr,
			"endivectl: setting --%s: not given; %s needs it\n",
			c->set.servers ? "keys" : "servers", cmd->name);
		return CLI_USAGE;
	}
	if (asks) {
		base = event_base_new();
		c->link = cli_link_new(&c->set, base, &err);
		if (!c->link) {
			fprintf(stderr, "endivectl: %s\n", err->message);
			g_clear_error(&err);
			event_base_free(base);
			return CLI_USAGE;
		}
	}
	rc = cmd->run(c, cmd, args, n);
	cli_link_free(c->link);
	if (base)
		event_base_free(base);
	return rc;
}

int main(int argc, char **argv)
{
	char *summary = cli_summary();
	const struct cli_cmd *cmd;
	int rc;

	rc = set_parse("endivectl", summary, cli_defs, G_N_ELEMENTS(cli_defs),
		       &argc, &argv);
	g_free(summary);
	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return CLI_NOT_DONE;
	cmd = argc > 1 ? cli_find(argv[1]) : NULL;
	if (!cmd) {
		fprintf(stderr,
			"endivectl: command %s: not known; see endivectl "
			"--help\n",
			argc > 1 ? argv[1] : "(none)");
		return CLI_USAGE;
	}
	rc = cli_run(&cli, cmd, argv + 2, argc - 2);
	g_strfreev(cli.set.servers);
	g_free(cli.set.keys);
	g_free(cli.set.base);
	g_free(cli.set.against);
	g_free(cli.set.reason);
	g_free(cli.set.after);
	return rc;
}
