#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fvw.h"
#include "key.h"
#include "pk.h"
#include "proto.h"
#include "set.h"
#include "tmr.h"
#include "wire.h"

/*
 * A stand-in for a voter, for make capacity: gives every entry daemon that
 * dials it a view of so many VMs, and a newer one so many times a minute. It
 * decides nothing and keeps nothing.
 */

#define SILENCE_MS 1000
#define MINUTE_MS 60000

struct feed {
	struct wire *wire;
	struct tmr *tmr;
	GPtrArray *conns; /* struct wire_conn */
	struct fvw *view;
};

static char *addr;
static char *key_path;
static long long vms;
static long long per_minute;

static const struct set_def settings[] = {
	{"wire", SET_ADDR, &addr, NULL, 0, 0, NULL, "address to listen on"},
	{"keys", SET_FILE, &key_path, NULL, 0, 0, NULL, "key file"},
	{"vms", SET_INT, &vms, "100", 1, FVW_VMS_MAX, NULL,
	 "VMs in the view, named t-1 and on"},
	{"per-minute", SET_INT, &per_minute, "0", 0, MINUTE_MS, NULL,
	 "changes of the view"},
};

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct fvw_vm *)a)->name,
		      ((const struct fvw_vm *)b)->name);
}

static struct fvw *make_view(void)
{
	struct fvw *v = fvw_new(1);
	struct fvw_pool pool = {
		.name = g_strdup("drafts"),
		.service = g_strdup("drafts"),
		.slots = 8,
		.conns = 64,
		.deadline_ms = 10000,
		.max_answer = 1 << 20,
		.max_body = 1 << 20,
		.queue_ms = 1000,
	};
	long long i;

	g_array_append_val(v->pools, pool);
	for (i = 1; i <= vms; i++) {
		struct fvw_vm vm = {.name = g_strdup_printf("t-%lld", i),
				    .epoch = 1};

		g_array_append_val(v->vms, vm);
	}
	g_array_sort(v->vms, by_name);
	return v;
}

static void send_view(struct feed *f, struct wire_conn *c)
{
	struct pk_out view;
	struct pk_out o;

	pk_out_init(&view);
	fvw_pack(f->view, &view);
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CONFIG);
	pk_u(&o, f->view->version);
	pk_str(&o, pk_out_view(&view));
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
	pk_out_done(&view);
}

static void feed_up(void *arg, struct wire_conn *c)
{
	struct feed *f = arg;

	g_ptr_array_add(f->conns, c);
	send_view(f, c);
}

static void feed_recv(void *arg, struct wire_conn *c, struct lstr payload)
{
	/* What version an entry daemon works by does not matter here. */
}

static void feed_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct feed *f = arg;

	g_ptr_array_remove(f->conns, c);
}

static const struct wire_ops feed_ops = {
	.up = feed_up,
	.recv = feed_recv,
	.down = feed_down,
};

static void feed_change(void *arg, int64_t now)
{
	struct feed *f = arg;
	guint i;

	f->view->version++;
	for (i = 0; i < f->conns->len; i++)
		send_view(f, g_ptr_array_index(f->conns, i));
}

int main(int argc, char **argv)
{
	struct feed f = {0};
	struct wire_config config = {
		.base = event_base_new(),
		.node = "feed",
		.zone = "zone-0",
		.silence_ms = SILENCE_MS,
	};
	GError *err = NULL;
	int rc = set_parse("capacity_feed", "A stand-in for a voter.", settings,
			   G_N_ELEMENTS(settings), &argc, &argv);

	if (rc != -1)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	f.tmr = tmr_new(config.base);
	f.conns = g_ptr_array_new();
	f.view = make_view();
	config.tmr = f.tmr;
	config.keys = keyring_load(key_path, &err);
	if (config.keys)
		f.wire = wire_new(&config);
	if (!f.wire || wire_listen(f.wire, addr, &feed_ops, &f, &err) != 0) {
		fprintf(stderr, "capacity_feed: %s\n", err->message);
		return 1;
	}
	if (per_minute)
		tmr_every(f.tmr, MINUTE_MS / per_minute, feed_change, &f);
	event_base_dispatch(config.base);
	return 0;
}
