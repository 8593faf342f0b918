#ifndef CLI_H
#define CLI_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "fcm.h"
#include "key.h"
#include "lgl.h"
#include "pk.h"
#include "proto.h"
#include "qtb.h"
#include "set.h"

/*
 * The operator's client. Its exit status tells scripts how a command ended;
 * see endivectl(1).
 */
enum cli_exit {
	CLI_OK = 0, /* accepted, or answered */
	CLI_REFUSED = 1, /* not done, and never will be */
	CLI_USAGE = 2,
	CLI_CONFLICT = 3, /* not done: changed meanwhile */
	CLI_UNKNOWN = 4, /* may be done: ask for its status */
	CLI_NOT_DONE = 5, /* no voter or no majority to be reached */
	CLI_NOT_IN_FORCE = 6, /* accepted; a daemon lags */
};

/* Settings, as set_parse fills them in. */
struct cli_settings {
	char **servers;
	char *keys;
	long long timeout_s;
	gboolean json;
	gboolean yes;
	gboolean target;
	gboolean open_network; /* the fleet's own network needs no key */
	char *base;
	char *against;
	char *reason;
	char *after;
	long long for_s; /* how long an override holds */
};

struct event_base;
struct cli_link;

struct cli {
	struct cli_settings set;
	struct cli_link *link; /* NULL for commands that ask nobody */
};

/* A command of the client. */
struct cli_cmd {
	const char *name;
	const char *args;
	const char *help;
	int min_args;
	int max_args; /* -1: any number */
	bool asks; /* talks to voters */
	enum key_role role; /* least that is needed; the voter decides */
	const char *query; /* for commands that only show a query's answer */
	int (*run)(struct cli *c, const struct cli_cmd *cmd, char **args,
		   int n);
};

extern const struct cli_cmd cli_cmds[];
extern const guint cli_cmds_len;
extern const struct set_def cli_defs[];
extern const guint cli_defs_len;

/* The last answer to a request, and whether an earlier sending may count. */
struct cli_reply {
	enum proto_result code;
	GBytes *bytes;
	bool answered; /* code and bytes are a voter's */
	bool maybe; /* a sending got no answer */
};

struct cli_link *cli_link_new(const struct cli_settings *set,
			      struct event_base *base, GError **err);
void cli_link_free(struct cli_link *l);
void cli_link_query(struct cli_link *l, const char *name, const char *arg,
		    struct cli_reply *out);
void cli_link_submit(struct cli_link *l, struct lstr cmd,
		     struct cli_reply *out);
void cli_link_wait(struct cli_link *l, int64_t ms);
int64_t cli_link_now(const struct cli_link *l);
void cli_reply_clear(struct cli_reply *r);
struct lstr cli_reply_bytes(const struct cli_reply *r);

int cli_ask(struct cli *c, const char *name, const char *arg, struct qtb_in *t,
	    struct cli_reply *reply);
int cli_submit(struct cli *c, struct fcm_cmd *cmd, struct fcm_result *result);
int cli_exit_of(enum proto_result code);

bool cli_read_log(const char *path, lgl_take take, void *arg);
void cli_print(const struct cli *c, const struct qtb_in *t);
void cli_print_local(const struct cli *c, struct qtb *t);
void cli_print_result(const struct cli *c, const struct fcm_cmd *cmd,
		      const struct fcm_result *r);

/* Files read from disk or from an answer, kept as long as they are used. */
struct cli_files {
	guint n;
	char *names[FCM_FILES_MAX];
	char *texts[FCM_FILES_MAX];
	struct cfg_text views[FCM_FILES_MAX];
};

bool cli_files_read(struct cli_files *f, char **paths, int n);
void cli_files_clear(struct cli_files *f);
struct cfg *cli_files_load(const struct cli *c, const struct cli_files *f,
			   bool show);

int cli_do_check(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_diff(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_apply(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_query(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_config(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_audit(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_verify(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_status(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_drain(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_move(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_priority(struct cli *c, const struct cli_cmd *cmd, char **args,
		    int n);
int cli_do_override(struct cli *c, const struct cli_cmd *cmd, char **args,
		    int n);
int cli_do_forget(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_losses(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_organisations(struct cli *c, const struct cli_cmd *cmd, char **args,
			 int n);
int cli_do_work(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_trace(struct cli *c, const struct cli_cmd *cmd, char **args, int n);
int cli_do_completion(struct cli *c, const struct cli_cmd *cmd, char **args,
		      int n);

#endif
