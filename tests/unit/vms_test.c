#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/http.h>
#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "vms.h"

#define SETTLE_MS 100
#define FENCE 7
/* More than a service that doesn't read is sent, less than a kernel holds. */
#define ORDER_BYTES 12000
#define HEALED_MS 3000
/* Longer than an election, and than a kernel waits to send again. */
#define STILL_US 1500000

/* A service of VMs that says yes to all, and the leader's side. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct evhttp *http;
	struct vms *vms;
	char addr[32];
	int orders;
	int yes;
	int unanswered;
	int lists;
	size_t padding; /* bytes of an order's body */
	int64_t unsure_ms; /* we last knew so long ago that we lead */
};

/* The codec is told nothing of its bed. */
static struct bed *bed_now;

static char *bed_write(const struct vms_order *o, struct evbuffer *body,
		       struct ups_header *headers, size_t *n_headers,
		       char *scratch, size_t scratch_size)
{
	struct bed *b = bed_now;
	char *padding = g_malloc0(b->padding + 1);

	evbuffer_add(body, padding, b->padding);
	g_free(padding);
	*n_headers = 0;
	return g_strdup(o->kind == VMS_LIST ? "/list" : "/order");
}

static enum vms_answer bed_answer(int status, struct lstr body)
{
	return status == 200 ? VMS_YES : VMS_BUSY;
}

static bool bed_list(struct lstr body, GPtrArray *vms, char **next)
{
	return true;
}

static const struct vms_codec bed_codec = {
	.write = bed_write,
	.answer = bed_answer,
	.list = bed_list,
};

static void bed_on_request(struct evhttp_request *req, void *arg)
{
	struct bed *b = arg;

	b->orders += strcmp(evhttp_request_get_uri(req), "/order") == 0;
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void bed_listed(void *arg)
{
	struct bed *b = arg;

	b->lists++;
}

static void bed_answered(void *arg, enum vms_kind kind, const char *vm,
			 enum vms_answer answer)
{
	struct bed *b = arg;

	b->yes += answer == VMS_YES;
	b->unanswered += answer == VMS_UNANSWERED;
}

static int64_t bed_sure(void *arg)
{
	struct bed *b = arg;

	return tmr_now(b->tmr) - b->unsure_ms;
}

static const struct vms_ops bed_ops = {
	.listed = bed_listed,
	.answered = bed_answered,
	.sure = bed_sure,
};

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	int port;

	close(net_listen(&port));
	g_snprintf(b->addr, sizeof(b->addr), "127.0.0.1:%d", port);
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->http = evhttp_new(b->base);
	evhttp_set_gencb(b->http, bed_on_request, b);
	assert_int_equal(
		evhttp_bind_socket(b->http, "127.0.0.1", (uint16_t)port), 0);
	b->vms = vms_new(&(struct vms_config){.base = b->base,
					      .tmr = b->tmr,
					      .codec = &bed_codec,
					      .addr = b->addr,
					      .node = "n"},
			 &bed_ops, b);
	vms_lead(b->vms, FENCE);
	bed_now = b;
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	vms_free(b->vms);
	evhttp_free(b->http);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_free(b);
	return 0;
}

static void an_order_is_sent_once_at_a_time(void **state)
{
	struct bed *b = *state;

	vms_move(b->vms, "vm1", "p");
	vms_move(b->vms, "vm1", "q");
	vms_upkeep(b->vms, "vm1", 1);
	vms_move(b->vms, "vm2", "p");
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 2);
	assert_int_equal(b->yes, 2);
	assert_false(vms_asked(b->vms, "vm1"));
}

/*
 * Two leaders give one VM orders by turns. A leader stood still while another
 * took its place, and goes on where it was before it learns so.
 */
static void a_leader_that_stood_still_orders_nothing(void **state)
{
	struct bed *b = *state;

	b->unsure_ms = 12000;
	vms_move(b->vms, "vm1", "p");
	vms_upkeep(b->vms, "vm2", 1);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 0);
	/* a list changes nothing */
	vms_refresh(b->vms);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->lists, 1);
	b->unsure_ms = 0;
	vms_move(b->vms, "vm1", "p");
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 1);
}

static void who_doesnt_lead_orders_nothing(void **state)
{
	struct bed *b = *state;

	vms_rest(b->vms);
	vms_move(b->vms, "vm1", "p");
	vms_refresh(b->vms);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 0);
	assert_int_equal(b->lists, 0);
}

/*
 * Two leaders give one VM orders by turns. A leader asks for a connection and
 * stands still while it is being made; another takes its place and orders; the
 * first goes on where it was and writes its order. It must look again as it
 * writes.
 */
static void an_order_is_looked_at_again_as_it_is_written(void **state)
{
	struct bed *b = *state;

	vms_move(b->vms, "vm1", "p");
	b->unsure_ms = 12000;
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 0);
	assert_false(vms_asked(b->vms, "vm1"));
	/* the same over a connection that is there */
	b->unsure_ms = 0;
	vms_move(b->vms, "vm1", "p");
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 1);
	vms_move(b->vms, "vm1", "p");
	b->unsure_ms = 12000;
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->orders, 1);
	assert_false(vms_asked(b->vms, "vm1"));
}

/*
 * A service that takes connections and reads nothing, which stands for a cut:
 * most of an order stays in the kernel of who gave it.
 */
static struct vms *mute_service(struct bed *b, int *listener, char *addr,
				size_t size)
{
	int little = 1;
	struct vms *v;
	int port;

	*listener = net_listen(&port);
	assert_int_equal(setsockopt(*listener, SOL_SOCKET, SO_RCVBUF, &little,
				    sizeof(little)),
			 0);
	g_snprintf(addr, size, "127.0.0.1:%d", port);
	b->padding = ORDER_BYTES;
	v = vms_new(&(struct vms_config){.base = b->base,
					 .tmr = b->tmr,
					 .codec = &bed_codec,
					 .addr = addr,
					 .node = "n"},
		    &bed_ops, b);
	vms_lead(v, FENCE);
	return v;
}

/* The cut heals: whether the connection ends and not all of the order came. */
static bool broken_off(struct bed *b, int fd)
{
	char buf[ORDER_BYTES];
	size_t got = 0;
	ssize_t n;
	int i;

	for (i = 0; i < HEALED_MS; i++) {
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			got += (size_t)n;
		if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
			return got < ORDER_BYTES;
		g_usleep(1000);
	}
	return false;
}

/*
 * A VM is moved by a leader that has long been replaced. A cut holds its order
 * up in its own kernel; it loses its place and gives the call up; another
 * leader orders something of the VM; the cut heals, and the kernel delivers
 * the old order. With the lead goes what its calls left in the kernel.
 */
static void orders_are_broken_off_with_the_lead(void **state)
{
	struct bed *b = *state;
	char addr[32];
	int listener;
	struct vms *v = mute_service(b, &listener, addr, sizeof(addr));
	int fd;

	vms_move(v, "vm1", "p");
	fd = net_accept(b->base, listener, SETTLE_MS);
	net_run(b->base, SETTLE_MS / 2);
	vms_rest(v);
	net_run(b->base, SETTLE_MS / 2);
	assert_true(broken_off(b, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

/*
 * The same, and the leader hasn't noticed yet that it lost its place: that
 * takes it longer than others need to elect. An order that got no answer by
 * then is broken off, and told as unanswered.
 */
static void orders_are_broken_off_when_the_lead_is_unsure(void **state)
{
	struct bed *b = *state;
	char addr[32];
	int listener;
	struct vms *v = mute_service(b, &listener, addr, sizeof(addr));
	int fd;

	vms_upkeep(v, "vm1", 1);
	fd = net_accept(b->base, listener, SETTLE_MS);
	net_run(b->base, SETTLE_MS / 2);
	assert_int_equal(b->unanswered, 0);
	b->unsure_ms = 12000;
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->unanswered, 1);
	assert_false(vms_asked(v, "vm1"));
	assert_true(broken_off(b, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

/*
 * The same, and the leader stands still all the while, so that it can break
 * nothing off: its kernel alone must not hold an order for longer than it
 * takes others to elect.
 */
static void a_kernel_holds_no_order_for_long(void **state)
{
	struct bed *b = *state;
	char addr[32];
	int listener;
	struct vms *v = mute_service(b, &listener, addr, sizeof(addr));
	int fd;

	vms_move(v, "vm1", "p");
	fd = net_accept(b->base, listener, SETTLE_MS);
	net_run(b->base, SETTLE_MS / 2);
	g_usleep(STILL_US);
	assert_true(broken_off(b, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(an_order_is_sent_once_at_a_time),
		T(a_leader_that_stood_still_orders_nothing),
		T(who_doesnt_lead_orders_nothing),
		T(an_order_is_looked_at_again_as_it_is_written),
		T(orders_are_broken_off_with_the_lead),
		T(orders_are_broken_off_when_the_lead_is_unsure),
		T(a_kernel_holds_no_order_for_long),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("vms", tests, NULL, NULL);
}
