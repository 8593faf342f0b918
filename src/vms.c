#include "vms.h"

#include <inttypes.h>

#include "msg.h"

/*
 * Deadline of a call, ms. The service answers within some ms, and within a
 * second when it is slow.
 */
#define VMS_ANSWER_MS 1500
#define VMS_CONNECT_MS 500
/* Largest page of the list: 5 times 200 VMs of 300 bytes. */
#define VMS_ANSWER_MAX (320 << 10)
#define VMS_REUSE_MS 10000
/*
 * Time limits of orders after T, the time at which a quorum last confirmed this
 * leader, ms. Other replicas elect no leader until T + 600 ms, and the next
 * leader sends no order in its first 100 ms. So an order is written until T +
 * 300 ms, and aborted at T + 450 ms if it has no answer by then; if the process
 * is paused, its kernel retransmits for at most 200 ms more. The 250 ms between
 * the last retransmission and the next leader's first order allow for network
 * delay, for a check that runs one interval late, and for clocks that differ by
 * 2 %. While a quorum answers, T is some 100 ms ago.
 */
#define VMS_SEND_LIMIT_MS 300
#define VMS_ABORT_LIMIT_MS 450
#define VMS_RETRANSMIT_MS 200
/* Interval at which unanswered orders are checked, ms. */
#define VMS_CHECK_MS 25

struct vms_call {
	struct vms *v;
	struct ups_call *ups;
	struct evbuffer *body;
	enum vms_kind kind;
	char *vm;
	int64_t sent_ms;
};

struct vms {
	struct vms_config config;
	const struct vms_ops *ops;
	void *arg;
	struct ups *ups;
	GPtrArray *calls; /* struct vms_call */
	GPtrArray *vms; /* struct vms_vm, the latest complete list */
	GHashTable *by_name; /* the list by VM name */
	GHashTable *by_worker; /* the list by worker id */
	/* worker id: name of the VM that it was last listed on */
	GHashTable *last_vm;
	/* a VM in the list is up, but its worker is not known */
	bool worker_unknown;
	/* names of the VMs in rows of the list that can't be read; "": none */
	GPtrArray *unreadable;
	GPtrArray *incoming_unreadable; /* those of the list being read */
	GHashTable *by_unreadable; /* the same names as a set */
	GPtrArray *incoming; /* pages of the list being read */
	bool listing;
	int64_t list_requested_ms; /* when the list being read was requested */
	/* when the latest complete list was requested; 0: none */
	int64_t listed_ms;
	uint64_t fence;
	uint64_t check_timer;
	bool leading;
	uint64_t n_calls;
};

static void vms_index(struct vms *v);
static void vms_record_last(struct vms *v, const struct vms_vm *vm);
static bool vms_is_leader_confirmed(const struct vms *v, int64_t for_ms);
static bool vms_may_order(const struct vms *v, const char *vm);
static bool vms_may_write(void *arg);
static void vms_check_orders(void *arg, int64_t now);
static struct vms_call *vms_find_order(const struct vms *v);
static void vms_schedule_check(struct vms *v);
static void vms_abort_call(struct vms_call *c);
static void vms_request_page(struct vms *v, const char *page);
static struct vms_call *vms_send(struct vms *v, const struct vms_order *o);
static void vms_handle_end(void *arg, enum ups_end end,
			   const struct ups_answer *a);
static void vms_handle_page(struct vms *v, enum ups_end end, int status,
			    struct lstr body);
static void vms_call_free(struct vms_call *c);

static const struct ups_ops vms_ups_ops = {
	.may_write = vms_may_write,
	.end = vms_handle_end,
};

/*
 * Creates a session that does nothing until vms_start(). What config points to
 * must outlive it.
 */
struct vms *vms_new(const struct vms_config *config, const struct vms_ops *ops,
		    void *arg)
{
	struct vms *v = g_new0(struct vms, 1);

	v->config = *config;
	v->ops = ops;
	v->arg = arg;
	v->ups = ups_new(config->base, config->tmr);
	ups_set_idle_timeout(v->ups, VMS_REUSE_MS);
	ups_set_user_timeout(v->ups, VMS_RETRANSMIT_MS);
	ups_set_conns_max(v->ups, VMS_CONNS_MAX);
	v->calls = g_ptr_array_new();
	v->vms = g_ptr_array_new_with_free_func(vms_vm_free);
	v->unreadable = g_ptr_array_new_with_free_func(g_free);
	v->by_unreadable = g_hash_table_new(g_str_hash, g_str_equal);
	v->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	v->by_worker = g_hash_table_new(g_str_hash, g_str_equal);
	v->last_vm =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return v;
}

/* Ends the session. Orders in flight may still be carried out. */
void vms_free(struct vms *v)
{
	if (!v)
		return;
	vms_stop(v);
	ups_free(v->ups);
	g_ptr_array_free(v->calls, TRUE);
	g_hash_table_destroy(v->by_unreadable);
	g_hash_table_destroy(v->by_name);
	g_hash_table_destroy(v->by_worker);
	g_hash_table_destroy(v->last_vm);
	g_ptr_array_free(v->vms, TRUE);
	g_ptr_array_free(v->unreadable, TRUE);
	if (v->incoming_unreadable)
		g_ptr_array_free(v->incoming_unreadable, TRUE);
	g_free(v);
}

/*
 * Starts the session when this replica becomes leader. Orders carry the fencing
 * token.
 */
void vms_start(struct vms *v, uint64_t fence)
{
	vms_stop(v);
	v->leading = true;
	v->fence = fence;
}

/*
 * Stops the session when this replica is no leader any more: aborts all calls
 * and drops the list.
 */
void vms_stop(struct vms *v)
{
	v->leading = false;
	tmr_cancel(v->config.tmr, v->check_timer);
	v->check_timer = 0;
	while (v->calls->len)
		vms_abort_call(g_ptr_array_steal_index_fast(v->calls, 0));
	if (v->incoming)
		g_ptr_array_free(v->incoming, TRUE);
	v->incoming = NULL;
	v->listing = false;
	v->listed_ms = 0;
	g_ptr_array_set_size(v->vms, 0);
	g_hash_table_remove_all(v->last_vm);
	vms_index(v);
}

/* Reads the list again, unless it is being read or the session is stopped. */
void vms_refresh(struct vms *v)
{
	if (!v->leading || v->listing)
		return;
	v->listing = true;
	v->list_requested_ms = tmr_now(v->config.tmr);
	v->incoming = g_ptr_array_new_with_free_func(vms_vm_free);
	if (v->incoming_unreadable)
		g_ptr_array_free(v->incoming_unreadable, TRUE);
	v->incoming_unreadable = g_ptr_array_new_with_free_func(g_free);
	vms_request_page(v, NULL);
}

/*
 * Replaces the list as if it had been read, with a request at asked_ms. Takes
 * ownership of the array.
 */
void vms_put_list(struct vms *v, GPtrArray *list, int64_t asked_ms)
{
	g_ptr_array_free(v->vms, TRUE);
	v->vms = list;
	v->listed_ms = asked_ms;
	vms_index(v);
}

/* Builds the indexes of the list by VM name and by worker. */
static void vms_index(struct vms *v)
{
	guint i;

	g_hash_table_remove_all(v->by_name);
	g_hash_table_remove_all(v->by_worker);
	/* any VM may be one whose row can't be read */
	v->worker_unknown = v->unreadable->len > 0;
	for (i = 0; i < v->vms->len; i++) {
		struct vms_vm *vm = g_ptr_array_index(v->vms, i);

		if (!g_hash_table_contains(v->by_name, vm->name))
			g_hash_table_insert(v->by_name, vm->name, vm);
		if (*vm->worker &&
		    !g_hash_table_contains(v->by_worker, vm->worker))
			g_hash_table_insert(v->by_worker, vm->worker, vm);
		if (*vm->worker)
			vms_record_last(v, vm);
		v->worker_unknown |= !*vm->worker && vm->state == VMS_UP;
	}
}

/*
 * Orders the upkeep of a VM in a wave; does nothing if no order may be sent for
 * it now.
 */
void vms_upkeep(struct vms *v, const char *vm, uint64_t wave)
{
	struct vms_order o = {.kind = VMS_DO_UPKEEP, .vm = vm, .wave = wave};

	if (vms_may_order(v, vm))
		vms_send(v, &o);
}

/*
 * Orders the move of a VM to a pool; does nothing if no order may be sent for
 * it now.
 */
void vms_move(struct vms *v, const char *vm, const char *pool)
{
	struct vms_order o = {.kind = VMS_DO_MOVE, .vm = vm, .pool = pool};

	if (vms_may_order(v, vm))
		vms_send(v, &o);
}

/* Whether an order for a VM has been sent and not been answered. */
bool vms_has_order(const struct vms *v, const char *vm)
{
	guint i;

	for (i = 0; i < v->calls->len; i++) {
		const struct vms_call *c = g_ptr_array_index(v->calls, i);

		if (c->vm && strcmp(c->vm, vm) == 0)
			return true;
	}
	return false;
}

/* Returns the latest complete list, struct vms_vm. */
GPtrArray *vms_all(const struct vms *v)
{
	return v->vms;
}

/* Returns a VM by name, or NULL. */
const struct vms_vm *vms_find(const struct vms *v, const char *name)
{
	return g_hash_table_lookup(v->by_name, name);
}

/* Returns the VM that a worker runs on, or NULL. */
const struct vms_vm *vms_of_worker(const struct vms *v, const char *worker)
{
	return g_hash_table_lookup(v->by_worker, worker);
}

/*
 * Returns the current entry of the VM that a worker was last listed on, or
 * NULL.
 */
const struct vms_vm *vms_last_of_worker(const struct vms *v, const char *worker)
{
	const char *name = g_hash_table_lookup(v->last_vm, worker);

	return name ? vms_find(v, name) : NULL;
}

/* Records the VM of a worker. */
static void vms_record_last(struct vms *v, const struct vms_vm *vm)
{
	const char *name = g_hash_table_lookup(v->last_vm, vm->worker);

	if (g_strcmp0(name, vm->name) != 0)
		g_hash_table_insert(v->last_vm, g_strdup(vm->worker),
				    g_strdup(vm->name));
}

/* Drops the record of a worker's VM once the worker has ended. */
void vms_forget_worker(struct vms *v, const char *worker)
{
	g_hash_table_remove(v->last_vm, worker);
}

/* Whether a VM in the latest list is up without a known worker. */
bool vms_has_unknown_worker(const struct vms *v)
{
	return v->worker_unknown;
}

/* Returns when the latest complete list was requested; 0: there is none. */
int64_t vms_listed_ms(const struct vms *v)
{
	return v->listed_ms;
}

/* Returns how many rows of the latest complete list couldn't be read. */
guint vms_unreadable(const struct vms *v)
{
	return v->unreadable->len;
}

/*
 * Whether the latest complete list has a VM, or may have it: in a row that can't
 * be read and names it, or names no VM at all.
 */
bool vms_is_listed(const struct vms *v, const char *name)
{
	return vms_find(v, name) ||
	       g_hash_table_contains(v->by_unreadable, name) ||
	       g_hash_table_contains(v->by_unreadable, "");
}

/*
 * Replaces the names of the VMs in rows that can't be read, as if the next list
 * had had those rows. Takes ownership of the array.
 */
void vms_put_unreadable(struct vms *v, GPtrArray *names)
{
	guint i;

	g_ptr_array_free(v->unreadable, TRUE);
	v->unreadable = names;
	g_hash_table_remove_all(v->by_unreadable);
	for (i = 0; i < names->len; i++)
		g_hash_table_add(v->by_unreadable, g_ptr_array_index(names, i));
}

/* Returns the number of calls since the session was created. */
uint64_t vms_calls(const struct vms *v)
{
	return v->n_calls;
}

/* Frees a struct vms_vm. */
void vms_vm_free(gpointer p)
{
	struct vms_vm *vm = p;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm->worker);
	g_free(vm);
}

/*
 * Whether this replica leads, and was confirmed as leader at most for_ms ago.
 */
static bool vms_is_leader_confirmed(const struct vms *v, int64_t for_ms)
{
	int64_t age_ms = tmr_now(v->config.tmr) - v->ops->confirmed_ms(v->arg);

	return v->leading && age_ms <= for_ms;
}

/*
 * Whether an order for a VM may be sent. A leader that was paused and replaced
 * meanwhile would otherwise give orders alternating with the new leader's until
 * it learns so. A service that does not check fencing tokens would carry out
 * both.
 */
static bool vms_may_order(const struct vms *v, const char *vm)
{
	return vms_is_leader_confirmed(v, VMS_SEND_LIMIT_MS) &&
	       !vms_has_order(v, vm);
}

/* Checks again when the call is written, as connecting may have taken long. */
static bool vms_may_write(void *arg)
{
	const struct vms_call *c = arg;

	return c->kind == VMS_LIST ||
	       vms_is_leader_confirmed(c->v, VMS_SEND_LIMIT_MS);
}

/*
 * Aborts unanswered orders when leadership has not been confirmed for
 * VMS_ABORT_LIMIT_MS. A network partition may delay them until another leader
 * is elected, which takes less time than this leader needs to notice that it
 * was replaced.
 */
static void vms_check_orders(void *arg, int64_t now)
{
	struct vms *v = arg;
	struct vms_call *c = vms_find_order(v);

	v->check_timer = 0;
	for (; c && !vms_is_leader_confirmed(v, VMS_ABORT_LIMIT_MS);
	     c = vms_find_order(v)) {
		enum vms_kind kind = c->kind;
		char *vm = g_strdup(c->vm);

		g_ptr_array_remove(v->calls, c);
		vms_abort_call(c);
		v->ops->answered(v->arg, kind, vm, VMS_UNANSWERED);
		g_free(vm);
	}
	if (c)
		vms_schedule_check(v);
}

/* Returns an unanswered order, or NULL. */
static struct vms_call *vms_find_order(const struct vms *v)
{
	guint i;

	for (i = 0; i < v->calls->len; i++) {
		struct vms_call *c = g_ptr_array_index(v->calls, i);

		if (c->kind != VMS_LIST)
			return c;
	}
	return NULL;
}

/* Schedules the next check of unanswered orders. */
static void vms_schedule_check(struct vms *v)
{
	if (!v->check_timer)
		v->check_timer = tmr_once(v->config.tmr, VMS_CHECK_MS,
					  vms_check_orders, v);
}

/* Aborts a call; what the kernel still holds of it is discarded. */
static void vms_abort_call(struct vms_call *c)
{
	if (c->vm)
		msg(MSG_VMS_DROPPED,
		    "vm=%s fence=%" PRIu64 " after_ms=%" PRId64
		    " held=%" PRId64,
		    c->vm, c->v->fence, tmr_now(c->v->config.tmr) - c->sent_ms,
		    ups_unacked_bytes(c->ups));
	ups_cancel(c->ups);
	vms_call_free(c);
}

/* Requests a page of the list. */
static void vms_request_page(struct vms *v, const char *page)
{
	struct vms_order o = {.kind = VMS_LIST, .page = page};

	vms_send(v, &o);
}

/* Sends a call to the service. */
static struct vms_call *vms_send(struct vms *v, const struct vms_order *order)
{
	struct vms_call *c = g_new0(struct vms_call, 1);
	struct ups_header headers[VMS_HEADERS_MAX];
	struct vms_order o = *order;
	struct ups_request r = {
		.addr = v->config.addr,
		.method = o.kind == VMS_LIST ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
		.headers = headers,
		.timeout_ms = VMS_ANSWER_MS,
		.connect_ms = VMS_CONNECT_MS,
		.max_answer = VMS_ANSWER_MAX,
	};
	char scratch[32];
	char *path;

	o.holder = v->config.node;
	o.fence = v->fence;
	c->v = v;
	c->kind = o.kind;
	c->vm = g_strdup(o.vm);
	c->sent_ms = tmr_now(v->config.tmr);
	c->body = evbuffer_new();
	path = v->config.codec->write(&o, c->body, headers, &r.n_headers,
				      scratch, sizeof(scratch));
	r.uri = path;
	r.body = c->body;
	v->n_calls++;
	g_ptr_array_add(v->calls, c);
	c->ups = ups_start(v->ups, &r, &vms_ups_ops, c);
	if (c->vm) {
		vms_schedule_check(v);
		msg(MSG_VMS_SENT,
		    "vm=%s fence=%" PRIu64 " sure_age_ms=%" PRId64, c->vm,
		    o.fence, c->sent_ms - v->ops->confirmed_ms(v->arg));
	}
	g_free(path);
	return c;
}

/* Handles the end of a call, answered or not. */
static void vms_handle_end(void *arg, enum ups_end end,
			   const struct ups_answer *a)
{
	struct vms_call *c = arg;
	struct vms *v = c->v;
	struct lstr body = {0};
	enum vms_answer answer = VMS_UNANSWERED;

	g_ptr_array_remove_fast(v->calls, c);
	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	if (c->kind == VMS_LIST) {
		vms_handle_page(v, end, a->status, body);
	} else {
		if (end == UPS_WHOLE)
			answer = v->config.codec->answer(a->status, body);
		v->ops->answered(v->arg, c->kind, c->vm, answer);
	}
	vms_call_free(c);
}

/*
 * Handles a page of the list. The list is replaced only when all pages have
 * been read.
 */
static void vms_handle_page(struct vms *v, enum ups_end end, int status,
			    struct lstr body)
{
	char *next = NULL;

	if (end != UPS_WHOLE || status != 200 ||
	    !v->config.codec->list(body, v->incoming, &next,
				   v->incoming_unreadable)) {
		g_ptr_array_free(v->incoming, TRUE);
		v->incoming = NULL;
		v->listing = false;
		return;
	}
	if (next) {
		vms_request_page(v, next);
		g_free(next);
		return;
	}
	vms_put_unreadable(v, g_steal_pointer(&v->incoming_unreadable));
	vms_put_list(v, g_steal_pointer(&v->incoming), v->list_requested_ms);
	v->listing = false;
	v->ops->listed(v->arg);
}

/* Frees a call. */
static void vms_call_free(struct vms_call *c)
{
	evbuffer_free(c->body);
	g_free(c->vm);
	g_free(c);
}
