#include "cli.h"

#include <json-glib/json-glib.h>
#include <sodium.h>
#include <stdio.h>

#include "fau.h"

/* Asking and submitting, and the commands that only ask. */

#define CLI_ID_BYTES 12

static const int cli_exits[] = {
	[PROTO_OK] = CLI_OK,
	[PROTO_REFUSED] = CLI_REFUSED,
	[PROTO_CONFLICT] = CLI_CONFLICT,
	[PROTO_NOT_LEADER] = CLI_NOT_DONE,
	[PROTO_NO_QUORUM] = CLI_NOT_DONE,
	[PROTO_OUTCOME_UNKNOWN] = CLI_UNKNOWN,
	[PROTO_FORBIDDEN] = CLI_REFUSED,
};

static int cli_tell_unreached(const struct cli_reply *r);
static int cli_tell_unknown(const struct fcm_cmd *cmd);
static bool cli_chain_row(const struct qtb_in *t, guint row, const char *prev);
static struct lstr cli_row_str(const struct qtb_in *t, guint row,
			       const char *col);
static int64_t cli_row_num(const struct qtb_in *t, guint row, const char *col);
static bool cli_json_row(JsonObject *o, const char *prev);

/* The exit status for a result. */
int cli_exit_of(enum proto_result code)
{
	return cli_exits[code];
}

/*
 * Asks a query and reads its table. CLI_OK: *t is to be freed by
 * qtb_read_done and *reply by cli_reply_clear; else the fault was told.
 */
int cli_ask(struct cli *c, const char *name, const char *arg, struct qtb_in *t,
	    struct cli_reply *reply)
{
	int rc;

	cli_link_query(c->link, name, arg, reply);
	if (!reply->answered || reply->code == PROTO_NOT_LEADER ||
	    reply->code == PROTO_NO_QUORUM) {
		rc = cli_tell_unreached(reply);
	} else if (!qtb_read(t, cli_reply_bytes(reply))) {
		fprintf(stderr, "endivectl: %s: %s\n", name,
			reply->code == PROTO_OK
				? "the answer can't be read"
				: fcm_outcome_name(reply->code));
		rc = reply->code == PROTO_OK ? CLI_NOT_DONE
					     : cli_exit_of(reply->code);
	} else if (t->code != PROTO_OK) {
		fprintf(stderr, "endivectl: %s: " LSTR_FMT "\n", name,
			LSTR_ARG(t->text));
		rc = cli_exit_of(t->code);
		qtb_read_done(t);
	} else {
		return CLI_OK;
	}
	cli_reply_clear(reply);
	return rc;
}

static int cli_tell_unreached(const struct cli_reply *r)
{
	if (r->answered && r->code == PROTO_NO_QUORUM)
		fprintf(stderr, "endivectl: not done: no majority of voters "
				"can be reached now\n");
	else if (r->answered && r->code == PROTO_NOT_LEADER)
		fprintf(stderr, "endivectl: not done: the voters have no "
				"leader now\n");
	else
		fprintf(stderr, "endivectl: no voter of --servers answers\n");
	return CLI_NOT_DONE;
}

static int cli_tell_unknown(const struct fcm_cmd *cmd)
{
	fprintf(stderr,
		"endivectl: unknown: the answer was lost; the command may or "
		"may not take effect. Ask later by\n"
		"    endivectl status " LSTR_FMT "\n",
		LSTR_ARG(cmd->id));
	return CLI_UNKNOWN;
}

/* A command without a result that can be read. */
static int cli_tell_failed(const struct fcm_cmd *cmd, const struct cli_reply *r)
{
	if (r->maybe || (r->answered && (r->code == PROTO_OK ||
					 r->code == PROTO_OUTCOME_UNKNOWN)))
		return cli_tell_unknown(cmd);
	if (!r->answered || r->code == PROTO_NO_QUORUM ||
	    r->code == PROTO_NOT_LEADER)
		return cli_tell_unreached(r);
	fprintf(stderr, "endivectl: %s\n", fcm_outcome_name(r->code));
	return cli_exit_of(r->code);
}

/*
 * Gives a command its identity, submits it and reads its result, which is to
 * be freed by fcm_result_clear after CLI_OK. "Accepted" is never said here
 * before a voter said so; what can't be known is told as that.
 */
int cli_submit(struct cli *c, struct fcm_cmd *cmd, struct fcm_result *result)
{
	uint8_t rnd[CLI_ID_BYTES];
	char id[2 * CLI_ID_BYTES + 1];
	struct cli_reply reply;
	struct pk_out o;
	int rc;

	randombytes_buf(rnd, sizeof(rnd));
	sodium_bin2hex(id, sizeof(id), rnd, sizeof(rnd));
	cmd->id = lstr_n(id, strlen(id));
	cmd->made_ms = g_get_real_time() / 1000;
	*result = (struct fcm_result){0};
	/* Told first: whoever kills the client can still ask what became. */
	fprintf(stderr, "command %s\n", id);
	pk_out_init(&o);
	fcm_encode(cmd, &o);
	cli_link_submit(c->link, pk_out_view(&o), &reply);
	pk_out_done(&o);
	if (reply.answered &&
	    fcm_result_unpack(result, cli_reply_bytes(&reply))) {
		rc = cli_exit_of(result->code);
		cli_print_result(c, cmd, result);
	} else {
		rc = cli_tell_failed(cmd, &reply);
	}
	if (rc != CLI_OK)
		fcm_result_clear(result);
	cli_reply_clear(&reply);
	return rc;
}

/* Shows the answer to the command's query. */
int cli_do_query(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_reply reply;
	struct qtb_in t;
	int rc = cli_ask(c, cmd->query, n ? args[0] : "", &t, &reply);

	if (rc != CLI_OK)
		return rc;
	cli_print(c, &t);
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return CLI_OK;
}

/* Prints the files of a configuration, to edit or to keep. */
int cli_do_config(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_reply reply;
	struct qtb_in t;
	guint i;
	int rc = cli_ask(c, "config", n ? args[0] : "", &t, &reply);

	if (rc != CLI_OK)
		return rc;
	if (c->set.json)
		cli_print(c, &t);
	for (i = 0; !c->set.json && i < t.n_rows; i++)
		printf("# configuration %lld, file " LSTR_FMT "\n" LSTR_FMT
		       "\n",
		       (long long)cli_row_num(&t, i, "number"),
		       LSTR_ARG(cli_row_str(&t, i, "file")),
		       LSTR_ARG(cli_row_str(&t, i, "text")));
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return CLI_OK;
}

/* What became of a command whose answer was lost. */
int cli_do_status(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_reply reply;
	struct qtb_in t;
	int rc = cli_ask(c, "status", args[0], &t, &reply);

	if (rc != CLI_OK)
		return rc;
	cli_print(c, &t);
	if (t.n_rows)
		rc = cli_exit_of((enum proto_result)cli_row_num(&t, 0, "code"));
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return rc;
}

static struct lstr cli_row_str(const struct qtb_in *t, guint row,
			       const char *col)
{
	const struct qtb_cell *cell = qtb_cell(t, row, col);

	return cell && cell->type == QTB_STR ? cell->str : LSTR("");
}

static int64_t cli_row_num(const struct qtb_in *t, guint row, const char *col)
{
	const struct qtb_cell *cell = qtb_cell(t, row, col);

	return cell && cell->type == QTB_NUM ? cell->num : 0;
}

/* Whether a record has the hash that follows from the one before it. */
static bool cli_chain_holds(const struct fau_rec *r, struct lstr prev,
			    struct lstr hash)
{
	uint8_t before[FAU_HASH];
	uint8_t want[FAU_HASH];
	char text[2 * FAU_HASH + 1];
	size_t len = 0;

	if (sodium_hex2bin(before, sizeof(before), prev.p, prev.len, NULL, &len,
			   NULL) != 0 ||
	    len != FAU_HASH)
		return false;
	fau_chain(before, r, want);
	sodium_bin2hex(text, sizeof(text), want, sizeof(want));
	return lstr_eq(hash, lstr_from(text));
}

static bool cli_chain_row(const struct qtb_in *t, guint row, const char *prev)
{
	struct fau_rec r = {
		.seq = (uint64_t)cli_row_num(t, row, "seq"),
		.index = (uint64_t)cli_row_num(t, row, "index"),
		.time_ms = cli_row_num(t, row, "time_ms"),
		.who = cli_row_str(t, row, "who"),
		.role = cli_row_str(t, row, "role"),
		.kind = cli_row_str(t, row, "kind"),
		.what = cli_row_str(t, row, "what"),
		.from = (uint64_t)cli_row_num(t, row, "from"),
		.outcome = cli_row_str(t, row, "outcome"),
		.text = cli_row_str(t, row, "text"),
	};
	struct lstr before = cli_row_str(t, row, "prev");

	if (*prev && !lstr_eq(before, lstr_from(prev)))
		return false;
	return cli_chain_holds(&r, before, cli_row_str(t, row, "hash"));
}

static void cli_audit_lines(const struct qtb_in *t)
{
	guint i;

	for (i = 0; i < t->n_rows; i++) {
		GDateTime *at = g_date_time_new_from_unix_utc(
			cli_row_num(t, i, "time_ms") / 1000);
		char *when = at ? g_date_time_format(at, "%Y-%m-%dT%H:%M:%SZ")
				: g_strdup("-");

		printf("%lld %s " LSTR_FMT " (" LSTR_FMT ") " LSTR_FMT
		       ": " LSTR_FMT "; " LSTR_FMT "\n",
		       (long long)cli_row_num(t, i, "seq"), when,
		       LSTR_ARG(cli_row_str(t, i, "who")),
		       LSTR_ARG(cli_row_str(t, i, "role")),
		       LSTR_ARG(cli_row_str(t, i, "outcome")),
		       LSTR_ARG(cli_row_str(t, i, "what")),
		       LSTR_ARG(cli_row_str(t, i, "text")));
		g_free(when);
		if (at)
			g_date_time_unref(at);
	}
}

/* Shows a page of the audit trail, its chain checked record by record. */
int cli_do_audit(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_reply reply;
	struct qtb_in t;
	char *prev = g_strdup("");
	guint i;
	int rc = cli_ask(c, "audit", c->set.after ? c->set.after : "", &t,
			 &reply);

	if (rc != CLI_OK) {
		g_free(prev);
		return rc;
	}
	for (i = 0; i < t.n_rows && rc == CLI_OK; i++) {
		if (!cli_chain_row(&t, i, prev)) {
			fprintf(stderr,
				"endivectl: record %lld does not follow from "
				"the one before it\n",
				(long long)cli_row_num(&t, i, "seq"));
			rc = CLI_REFUSED;
		}
		g_free(prev);
		prev = lstr_dup(cli_row_str(&t, i, "hash"));
	}
	/* People read what happened; hashes are for export and verify. */
	if (!c->set.json)
		cli_audit_lines(&t);
	else
		cli_print(c, &t);
	g_free(prev);
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return rc;
}

static struct lstr cli_member(JsonObject *o, const char *name)
{
	return lstr_from(
		json_object_get_string_member_with_default(o, name, ""));
}

static bool cli_json_row(JsonObject *o, const char *prev)
{
	struct fau_rec r = {
		.seq = (uint64_t)json_object_get_int_member_with_default(
			o, "seq", 0),
		.index = (uint64_t)json_object_get_int_member_with_default(
			o, "index", 0),
		.time_ms = json_object_get_int_member_with_default(o, "time_ms",
								   0),
		.who = cli_member(o, "who"),
		.role = cli_member(o, "role"),
		.kind = cli_member(o, "kind"),
		.what = cli_member(o, "what"),
		.from = (uint64_t)json_object_get_int_member_with_default(
			o, "from", 0),
		.outcome = cli_member(o, "outcome"),
		.text = cli_member(o, "text"),
	};
	struct lstr before = cli_member(o, "prev");

	if (*prev && !lstr_eq(before, lstr_from(prev)))
		return false;
	return cli_chain_holds(&r, before, cli_member(o, "hash"));
}

/* Checks the chain of trails that were exported by audit --json. */
int cli_do_verify(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	JsonParser *p = json_parser_new();
	GError *err = NULL;
	const char *prev = "";
	JsonArray *rows = NULL;
	JsonNode *root;
	guint i;
	guint len = 0;
	int rc = CLI_OK;

	if (!json_parser_load_from_file(p, args[0], &err)) {
		fprintf(stderr, "endivectl: %s: %s\n", args[0], err->message);
		g_clear_error(&err);
		g_object_unref(p);
		return CLI_REFUSED;
	}
	root = json_parser_get_root(p);
	if (root && JSON_NODE_HOLDS_ARRAY(root)) {
		rows = json_node_get_array(root);
		len = json_array_get_length(rows);
	}
	if (len == 0) {
		fprintf(stderr, "endivectl: %s: holds no records\n", args[0]);
		rc = CLI_REFUSED;
	}
	for (i = 0; i < len && rc == CLI_OK; i++) {
		JsonNode *node = json_array_get_element(rows, i);
		JsonObject *o = JSON_NODE_HOLDS_OBJECT(node)
					? json_node_get_object(node)
					: NULL;

		if (!o || !cli_json_row(o, prev)) {
			fprintf(stderr,
				"endivectl: %s: record %u does not follow "
				"from the one before it\n",
				args[0], i + 1);
			rc = CLI_REFUSED;
		} else {
			prev = json_object_get_string_member(o, "hash");
		}
	}
	if (rc == CLI_OK)
		printf("%u records, chain whole, last hash %s\n", len, prev);
	g_object_unref(p);
	return rc;
}
