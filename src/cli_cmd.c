#include "cli.h"

#include <stdio.h>

/* Every command of the client; a new one is an entry here. */
const struct cli_cmd cli_cmds[] = {
	{"check", "BASE [OVERLAY...]",
	 "Check a configuration as a whole, without asking anybody", 1, -1,
	 false, KEY_READ, NULL, cli_do_check},
	{"diff", "BASE [OVERLAY...]",
	 "Show what it would change at each site, against what is in force", 1,
	 -1, true, KEY_READ, NULL, cli_do_diff},
	{"apply", "BASE [OVERLAY...]",
	 "Put it in force; --base N says what it was made from", 1, -1, true,
	 KEY_OPERATE, NULL, cli_do_apply},
	{"config", "[NUMBER]", "Print the files in force, or those of a number",
	 0, 1, true, KEY_READ, "config", cli_do_config},
	{"history", "", "List accepted configurations", 0, 0, true, KEY_READ,
	 "history", cli_do_query},
	{"show", "[SITE]", "Show effective values and where each comes from", 0,
	 1, true, KEY_READ, "show", cli_do_query},
	{"audit", "", "Show the audit trail; --after N pages, --json exports",
	 0, 0, true, KEY_READ, "audit", cli_do_audit},
	{"verify", "FILE", "Check the chain of an exported audit trail", 1, 1,
	 false, KEY_READ, NULL, cli_do_verify},
	{"status", "ID", "Tell what became of a command", 1, 1, true, KEY_READ,
	 "status", cli_do_status},
	{"drain", "VM", "Give a VM (--target: a target) no new work", 1, 1,
	 true, KEY_OPERATE, NULL, cli_do_drain},
	{"undrain", "VM", "Let a drained VM or target get work again", 1, 1,
	 true, KEY_OPERATE, NULL, cli_do_drain},
	{"move", "VM POOL", "Move a VM; to its own pool: call that off", 2, 2,
	 true, KEY_OPERATE, NULL, cli_do_move},
	{"priority", "POOL N|clear", "Set a pool's priority over the file's", 2,
	 2, true, KEY_DUTY, NULL, cli_do_priority},
	{"floor", "POOL N|clear",
	 "Keep at least N VMs in a pool of jobs, for the seconds of --for", 2,
	 2, true, KEY_DUTY, NULL, cli_do_override},
	{"weight", "ORGANISATION N|clear",
	 "Set an organisation's weight, for the seconds of --for", 2, 2, true,
	 KEY_DUTY, NULL, cli_do_override},
	{"overrides", "", "List the floors and weights ordered for now", 0, 0,
	 true, KEY_READ, "overrides", cli_do_query},
	{"shares", "",
	 "List organisations: weight, what they have, wait for, were refused",
	 0, 0, true, KEY_READ, "organisations", cli_do_query},
	{"pools", "[SITE|POOL]", "List pools with capacity, VMs and budget", 0,
	 1, true, KEY_READ, "pools", cli_do_query},
	{"vms", "[VM|POOL|ZONE|SITE]", "List VMs and their pools", 0, 1, true,
	 KEY_READ, "vms", cli_do_query},
	{"moves", "", "List VMs on their way between pools", 0, 0, true,
	 KEY_READ, "moves", cli_do_query},
	{"drains", "", "List targets drained by name", 0, 0, true, KEY_READ,
	 "drains", cli_do_query},
	{"nodes", "", "List entry daemons and the version each works by", 0, 0,
	 true, KEY_READ, "nodes", cli_do_query},
	{"entries", "", "List entry daemons that a move waits for", 0, 0, true,
	 KEY_READ, "entries", cli_do_query},
	{"forget", "NODE", "Wait no more for an entry daemon gone for good", 1,
	 1, true, KEY_DUTY, NULL, cli_do_forget},
	{"voters", "", "List voters and which one leads", 0, 0, true, KEY_READ,
	 "voters", cli_do_query},
	{"losses", "FILE...", "Sum up what callers lost, out of log files", 1,
	 -1, false, KEY_READ, NULL, cli_do_losses},
	{"organisations", "FILE...",
	 "Show what organisations run and wait for, out of metrics", 1, -1,
	 false, KEY_READ, NULL, cli_do_organisations},
	{"work", "FILE...", "Sum up where leaders' time went, out of log files",
	 1, -1, false, KEY_READ, NULL, cli_do_work},
	{"trace", "JOB FILE...", "Tell the story of a job out of log files", 2,
	 -1, false, KEY_READ, NULL, cli_do_trace},
	{"completion", "", "Print a completion script for bash", 0, 0, false,
	 KEY_READ, NULL, cli_do_completion},
};

const guint cli_cmds_len = G_N_ELEMENTS(cli_cmds);

/* Prints shell completion made of the tables above and the settings'. */
int cli_do_completion(struct cli *c, const struct cli_cmd *cmd, char **args,
		      int n)
{
	guint i;

	printf("# bash completion of endivectl; made by \"endivectl "
	       "completion\"\n"
	       "_endivectl()\n{\n"
	       "\tlocal cur=${COMP_WORDS[COMP_CWORD]} w cmd=\n"
	       "\tfor w in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
	       "\t\t[ \"${w#-}\" = \"$w\" ] && cmd=$w && break\n"
	       "\tdone\n"
	       "\tcase $cur in\n"
	       "\t-*) COMPREPLY=($(compgen -W \"");
	for (i = 0; i < cli_defs_len; i++)
		printf("--%s ", cli_defs[i].name);
	printf("--help --version\" -- \"$cur\"));;\n"
	       "\t*) if [ -n \"$cmd\" ]; then COMPREPLY=($(compgen -f -- "
	       "\"$cur\"))\n"
	       "\t   else COMPREPLY=($(compgen -W \"");
	for (i = 0; i < cli_cmds_len; i++)
		printf("%s%s", i ? " " : "", cli_cmds[i].name);
	printf("\" -- \"$cur\")); fi;;\n"
	       "\tesac\n}\n"
	       "complete -F _endivectl endivectl\n");
	return CLI_OK;
}
