#include "flo_int.h"
#include "upk.h"
#include "table.h"

/*
 * The longest steps of the loop that moves and upkeep of VMs take on leaders of
 * 350 and 1,100: the tick in which a burst begins, all other pools are idle,
 * and a wave of upkeep over two fifths of the VMs has little time left. The
 * baseline is 10 ms, the longest that a step of the loop may take.
 */

#define POOLS 5
#define WAVE_SHARE 2 / 5
#define WAVE_MS 10000
#define STEP_MS 10.0
#define WALL_MS 1000000

static void order(void *arg, const char *vm, const char *pool)
{
}

static void stop(void *arg, struct jtb_run *run, const char *why)
{
}

static bool may_stop(void *arg, const struct jtb_run *run)
{
	return false;
}

static bool none(void *arg, const char *vm)
{
	return false;
}

static bool reached(void *arg, const struct jtb_worker *w)
{
	return true;
}

static void note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
		 enum jtb_vm_state state, const char *worker_before)
{
}

static bool held(void *arg, const char *vm)
{
	const struct upk *u = arg;

	return upk_is_in_upkeep(u, vm) || upk_urgent(u, vm, WALL_MS);
}

static void put_config(struct jtb *t)
{
	struct jtb_config *c = jtb_config_new();
	struct pk_out o;
	int i;

	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	for (i = 0; i < POOLS; i++) {
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		p->name = g_strdup_printf("pool%d", i);
		jtb_config_add_pool(c, p);
		q->name = g_strdup_printf("queue%d", i);
		q->host = g_strdup("h");
		q->prefix = g_strdup_printf("/%d/", i);
		q->pool = g_strdup(p->name);
		q->attempts = 3;
		q->stretch = 1.5;
		q->slack_ms = 500;
		jtb_config_add_queue(c, q);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	bench_apply(t, &o, 1);
	jtb_config_free(c);
}

/* Lists the VMs, puts a worker on each, and a wave over some. */
static void put_vms(struct jtb *t, struct vms *v, int vms)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	struct jtb_wave *w = jtb_wave_new(1);
	char *labels[] = {NULL};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < vms; i++) {
		struct vms_vm *vm = g_new0(struct vms_vm, 1);
		struct jtb_worker_info info = {
			.addr = (char *)"127.0.0.1:1",
			.zone = (char *)"z",
			.labels = labels,
			.cpu = 16000,
			.mem_mb = 64000,
		};

		vm->name = g_strdup_printf("machine-%05x", i * 7919);
		vm->pool = g_strdup_printf("pool%d", i % POOLS);
		vm->worker = g_strdup_printf("i-%010x", i * 7919);
		vm->state = VMS_UP;
		vm->cpu = 16000;
		vm->mem_mb = 64000;
		g_ptr_array_add(list, vm);
		info.id = vm->worker;
		info.pool = vm->pool;
		jtb_put_worker(&o, &info);
	}
	bench_apply(t, &o, vms);
	pk_out_init(&o);
	w->from_ms = WALL_MS;
	w->within_ms = WAVE_MS;
	w->at_once = (uint32_t)(vms * WAVE_SHARE) / 2;
	for (i = 0; i < vms * WAVE_SHARE; i++) {
		struct vms_vm *vm = g_ptr_array_index(list, vms - 1 - i);

		jtb_wave_add(w, vm->name);
	}
	jtb_put_wave(&o, w);
	bench_apply(t, &o, 1);
	jtb_wave_free(w);
	vms_put_list(v, list, WALL_MS);
}

static void put_burst(struct jtb *t)
{
	struct jtb_step step = {
		.count = 5000, .cpu = 1000, .mem_mb = 100, .estimate_ms = 3000};
	struct jtb_spec s = {.id = "burst",
			     .queue = (char *)"queue0",
			     .text = (char *)"",
			     .steps = &step,
			     .n_steps = 1};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_job(&o, &s, WALL_MS);
	bench_apply(t, &o, 1);
}

/* Prints how long a step took that began then. */
static void tell(const char *part, int vms, const char *what, double from)
{
	printf("%s/%d/%s\t%.3f\tms\t%.1f\n", part, vms, what,
	       bench_now_ms() - from, STEP_MS);
}

/* Ticks of one fleet, each after what it is named for. */
static void fleet(int vms)
{
	static const struct upk_ops upk_ops = {.stop = stop,
					       .note = note,
					       .is_moving = none,
					       .is_spare = none,
					       .is_reachable = reached};
	static const struct flo_ops ops = {.order = order,
					   .stop = stop,
					   .may_stop = may_stop,
					   .is_reachable = reached,
					   .is_pinned = held};
	struct event_base *base = event_base_new();
	struct tmr *tmr = tmr_new_manual(WALL_MS);
	struct jtb *t = jtb_new(NULL, NULL);
	struct vms *v = vms_new(&(struct vms_config){.base = base, .tmr = tmr},
				NULL, NULL);
	struct upk *u = upk_new(t, v, &upk_ops, NULL);
	struct flo *f = flo_new(t, v, &ops, u);
	double from;

	put_config(t);
	put_vms(t, v, vms);
	flo_tick(f, WALL_MS, WALL_MS);
	put_burst(t);
	from = bench_now_ms();
	flo_tick(f, WALL_MS + 100, WALL_MS + 100);
	tell("flo", vms, "burst-begins", from);
	from = bench_now_ms();
	flo_tick(f, WALL_MS + 200, WALL_MS + 200);
	tell("flo", vms, "burst-goes-on", from);
	from = bench_now_ms();
	upk_tick(u, WALL_MS + 200, WALL_MS + 200);
	tell("upk", vms, "wave-begins", from);
	from = bench_now_ms();
	flo_tick(f, WALL_MS + 400, WALL_MS + 400);
	tell("flo", vms, "beside-wave", from);
	fprintf(stderr, "flo_bench: %u VMs on their way\n", flo_count_moves(f));
	flo_free(f);
	upk_free(u);
	vms_free(v);
	jtb_free(t);
	tmr_free(tmr);
	event_base_free(base);
}

int main(void)
{
	fleet(350);
	fleet(1100);
	return 0;
}
