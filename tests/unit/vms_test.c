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
/*
 * Larger than what a service that does not read accepts, smaller than what a
 * kernel buffers.
 */
#define ORDER_BYTES 12000
#define READ_TIMEOUT_MS 3000
/* Longer than an election and than a kernel's retransmissions. */
#define PAUSE_US 1500000

/*
 * A platform service that accepts all orders, and the leader's session with it.
 */
struct fixture {
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
	const char *unreadable; /* VM in a row of its list; NULL: none */
	/* age of the last confirmation of leadership */
	int64_t confirmed_age_ms;
};

/* The codec's functions have no argument for the fixture. */
static struct fixture *current_fixture;

static char *fixture_write(const struct vms_order *o, struct evbuffer *body,
			   struct ups_header *headers, size_t *n_headers,
			   char *scratch, size_t scratch_size)
{
	struct fixture *f = current_fixture;
	char *padding = g_malloc0(f->padding + 1);

	evbuffer_add(body, padding, f->padding);
	g_free(padding);
	*n_headers = 0;
	return g_strdup(o->kind == VMS_LIST ? "/list" : "/order");
}

static enum vms_answer fixture_answer(int status, struct lstr body)
{
	return status == 200 ? VMS_ACCEPTED : VMS_BUSY;
}

static bool fixture_list(struct lstr body, GPtrArray *vms, char **next,
			 GPtrArray *unreadable)
{
	if (current_fixture->unreadable)
		g_ptr_array_add(unreadable,
				g_strdup(current_fixture->unreadable));
	return true;
}

static const struct vms_codec fixture_codec = {
	.write = fixture_write,
	.answer = fixture_answer,
	.list = fixture_list,
};

static void fixture_on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;

	f->orders += strcmp(evhttp_request_get_uri(req), "/order") == 0;
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void fixture_listed(void *arg)
{
	struct fixture *f = arg;

	f->lists++;
}

static void fixture_answered(void *arg, enum vms_kind kind, const char *vm,
			     enum vms_answer answer)
{
	struct fixture *f = arg;

	f->yes += answer == VMS_ACCEPTED;
	f->unanswered += answer == VMS_UNANSWERED;
}

static int64_t fixture_confirmed_ms(void *arg)
{
	struct fixture *f = arg;

	return tmr_now(f->tmr) - f->confirmed_age_ms;
}

static const struct vms_ops fixture_ops = {
	.listed = fixture_listed,
	.answered = fixture_answered,
	.confirmed_ms = fixture_confirmed_ms,
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int port;

	close(net_listen(&port));
	g_snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d", port);
	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->http = evhttp_new(f->base);
	evhttp_set_gencb(f->http, fixture_on_request, f);
	assert_int_equal(
		evhttp_bind_socket(f->http, "127.0.0.1", (uint16_t)port), 0);
	f->vms = vms_new(&(struct vms_config){.base = f->base,
					      .tmr = f->tmr,
					      .codec = &fixture_codec,
					      .addr = f->addr,
					      .node = "n"},
			 &fixture_ops, f);
	vms_start(f->vms, FENCE);
	current_fixture = f;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	vms_free(f->vms);
	evhttp_free(f->http);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_free(f);
	return 0;
}

static void vm_has_one_order_at_a_time(void **state)
{
	struct fixture *f = *state;

	vms_move(f->vms, "vm1", "p");
	vms_move(f->vms, "vm1", "q");
	vms_upkeep(f->vms, "vm1", 1);
	vms_move(f->vms, "vm2", "p");
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 2);
	assert_int_equal(f->yes, 2);
	assert_false(vms_has_order(f->vms, "vm1"));
}

/*
 * Guards against two leaders that give orders for one VM in turn: a leader was
 * paused while another replaced it, and continues before it learns so.
 */
static void paused_leader_sends_no_order(void **state)
{
	struct fixture *f = *state;

	f->confirmed_age_ms = 12000;
	vms_move(f->vms, "vm1", "p");
	vms_upkeep(f->vms, "vm2", 1);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 0);
	/* A list has no effect on VMs and may be read. */
	vms_refresh(f->vms);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->lists, 1);
	f->confirmed_age_ms = 0;
	vms_move(f->vms, "vm1", "p");
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 1);
}

/* Reads a list with one row that can't be read, and the VM in it; NULL: none. */
static void read_list_with(struct fixture *f, const char *unreadable)
{
	f->unreadable = unreadable;
	vms_refresh(f->vms);
	net_run(f->base, SETTLE_MS);
}

/*
 * Guards against a VM that counts as gone, and whose wave ends without its
 * upkeep, as its row can't be read.
 */
static void vm_in_an_unreadable_row_is_listed(void **state)
{
	struct fixture *f = *state;

	read_list_with(f, "vm1");
	assert_true(vms_is_listed(f->vms, "vm1"));
	assert_false(vms_is_listed(f->vms, "vm2"));
	read_list_with(f, "");
	assert_true(vms_is_listed(f->vms, "vm2"));
	read_list_with(f, NULL);
	assert_false(vms_is_listed(f->vms, "vm1"));
}

static void stopped_session_sends_no_call(void **state)
{
	struct fixture *f = *state;

	vms_stop(f->vms);
	vms_move(f->vms, "vm1", "p");
	vms_refresh(f->vms);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 0);
	assert_int_equal(f->lists, 0);
}

/*
 * Guards against two leaders that give orders for one VM in turn: a leader is
 * paused while its connection is being made, is replaced meanwhile, and then
 * writes its order. Leadership must be checked again as the order is written.
 */
static void leadership_is_checked_when_an_order_is_written(void **state)
{
	struct fixture *f = *state;

	vms_move(f->vms, "vm1", "p");
	f->confirmed_age_ms = 12000;
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 0);
	assert_false(vms_has_order(f->vms, "vm1"));
	/* the same over an established connection */
	f->confirmed_age_ms = 0;
	vms_move(f->vms, "vm1", "p");
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 1);
	vms_move(f->vms, "vm1", "p");
	f->confirmed_age_ms = 12000;
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->orders, 1);
	assert_false(vms_has_order(f->vms, "vm1"));
}

/*
 * Creates a session with a service that accepts connections and reads nothing,
 * as in a network partition: most of an order stays in the kernel of the
 * sender.
 */
static struct vms *start_mute_service(struct fixture *f, int *listener,
				      char *addr, size_t size)
{
	int rcvbuf = 1;
	struct vms *v;
	int port;

	*listener = net_listen(&port);
	assert_int_equal(setsockopt(*listener, SOL_SOCKET, SO_RCVBUF, &rcvbuf,
				    sizeof(rcvbuf)),
			 0);
	g_snprintf(addr, size, "127.0.0.1:%d", port);
	f->padding = ORDER_BYTES;
	v = vms_new(&(struct vms_config){.base = f->base,
					 .tmr = f->tmr,
					 .codec = &fixture_codec,
					 .addr = addr,
					 .node = "n"},
		    &fixture_ops, f);
	vms_start(v, FENCE);
	return v;
}

/*
 * Reads all after the partition; returns whether the connection ended before
 * the whole order came.
 */
static bool is_aborted(struct fixture *f, int fd)
{
	char buf[ORDER_BYTES];
	size_t received = 0;
	ssize_t n;
	int i;

	for (i = 0; i < READ_TIMEOUT_MS; i++) {
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			received += (size_t)n;
		if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
			return received < ORDER_BYTES;
		g_usleep(1000);
	}
	return false;
}

/*
 * Guards against an old order that is delivered late: a partition holds it in
 * the kernel of a leader that is replaced; another leader orders something for
 * the VM; then the partition ends. When leadership ends, unsent data of its
 * calls must be discarded.
 */
static void orders_are_aborted_when_leadership_ends(void **state)
{
	struct fixture *f = *state;
	char addr[32];
	int listener;
	struct vms *v = start_mute_service(f, &listener, addr, sizeof(addr));
	int fd;

	vms_move(v, "vm1", "p");
	fd = net_accept(f->base, listener, SETTLE_MS);
	net_run(f->base, SETTLE_MS / 2);
	vms_stop(v);
	net_run(f->base, SETTLE_MS / 2);
	assert_true(is_aborted(f, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

/*
 * The same for a leader that has not noticed yet that it was replaced, which
 * takes longer than an election: an order without an answer by then is aborted
 * and reported as unanswered.
 */
static void orders_are_aborted_when_leadership_is_unconfirmed(void **state)
{
	struct fixture *f = *state;
	char addr[32];
	int listener;
	struct vms *v = start_mute_service(f, &listener, addr, sizeof(addr));
	int fd;

	vms_upkeep(v, "vm1", 1);
	fd = net_accept(f->base, listener, SETTLE_MS);
	net_run(f->base, SETTLE_MS / 2);
	assert_int_equal(f->unanswered, 0);
	f->confirmed_age_ms = 12000;
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->unanswered, 1);
	assert_false(vms_has_order(v, "vm1"));
	assert_true(is_aborted(f, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

/*
 * The same for a leader whose process is paused all the time, so that it cannot
 * abort anything: its kernel must not hold an order for longer than an election
 * takes.
 */
static void kernel_drops_an_order_of_a_paused_leader(void **state)
{
	struct fixture *f = *state;
	char addr[32];
	int listener;
	struct vms *v = start_mute_service(f, &listener, addr, sizeof(addr));
	int fd;

	vms_move(v, "vm1", "p");
	fd = net_accept(f->base, listener, SETTLE_MS);
	net_run(f->base, SETTLE_MS / 2);
	g_usleep(PAUSE_US);
	assert_true(is_aborted(f, fd));
	close(fd);
	vms_free(v);
	close(listener);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(vm_has_one_order_at_a_time),
		T(paused_leader_sends_no_order),
		T(vm_in_an_unreadable_row_is_listed),
		T(stopped_session_sends_no_call),
		T(leadership_is_checked_when_an_order_is_written),
		T(orders_are_aborted_when_leadership_ends),
		T(orders_are_aborted_when_leadership_is_unconfirmed),
		T(kernel_drops_an_order_of_a_paused_leader),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("vms", tests, NULL, NULL);
}
