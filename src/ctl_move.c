#include "ctl_int.h"

#include <sodium.h>

#include "msg.h"

/* Interval at which a join that was not accepted is proposed again. */
#define CTL_JOIN_RETRY_MS 1000
#define CTL_ID_BYTES 8

static uint64_t ctl_node_version(void *arg, const char *node);
static void ctl_submit(void *arg, const struct fcm_cmd *cmd);

static const struct mvr_ops ctl_mvr_ops = {
	.applied_version = ctl_node_version,
	.submit = ctl_submit,
};

/*
 * Whether an entry daemon may receive views: it must be recorded in the
 * replicated state. If it is not, the leader proposes its join. The next
 * leader's moves would miss a daemon that uses a view without being recorded,
 * and that daemon could place requests on a VM that has moved.
 */
bool ctl_ensure_joined(struct ctl *c, struct ctl_node *n)
{
	struct fcm_cmd join = {.kind = FCM_JOIN,
			       .node = {.node = lstr_from(n->name),
					.zone = lstr_from(n->zone)}};
	int64_t now = tmr_now(c->tmr);

	if (fst_node_registered(c->fst, join.node.node, join.node.zone))
		return true;
	if (c->role != CNS_LEADER ||
	    (n->join_ms && now < n->join_ms + CTL_JOIN_RETRY_MS))
		return false;
	n->join_ms = now;
	if (fst_node_zone(c->fst, join.node.node))
		msg(MSG_FST_OTHER_ZONE,
		    "node=%s zone=%s known=%s does=\"gets no view; endivectl "
		    "forget\"",
		    n->name, n->zone, fst_node_zone(c->fst, join.node.node));
	else
		ctl_submit(c, &join);
	return false;
}

/* Advances the moves of VMs while this voter leads. */
void ctl_moves_tick(struct ctl *c, int64_t now)
{
	if (c->role != CNS_LEADER) {
		mvr_free(c->mover);
		c->mover = NULL;
		return;
	}
	if (!c->mover)
		c->mover = mvr_new(&ctl_mvr_ops, c);
	mvr_run(c->mover, c->fst, now);
}

static uint64_t ctl_node_version(void *arg, const char *node)
{
	struct ctl *c = arg;
	const struct ctl_node *n = g_hash_table_lookup(c->nodes, node);

	return n ? n->version : 0;
}

/* Submits an automatic command under a new random id. */
static void ctl_submit(void *arg, const struct fcm_cmd *cmd)
{
	struct ctl *c = arg;
	struct fcm_cmd act = *cmd;
	uint8_t rnd[CTL_ID_BYTES];
	char id[2 * CTL_ID_BYTES + 1];
	struct pk_out o;
	uint64_t index;

	randombytes_buf(rnd, sizeof(rnd));
	sodium_bin2hex(id, sizeof(id), rnd, sizeof(rnd));
	act.id = lstr_from(id);
	act.made_ms = g_get_real_time() / 1000;
	pk_out_init(&o);
	fcm_encode(&act, &o);
	ctl_propose(c, lstr_from(c->config.node), KEY_PEER, pk_out_view(&o),
		    &index);
	pk_out_done(&o);
}
