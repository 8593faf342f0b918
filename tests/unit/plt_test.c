#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/buffer.h>

#include "plt_int.h"

/*
 * Documents are written as short texts: each entry KEY=VALUE of a map, where
 * a value is a number, true, false, {...}, [...] or else a text.
 */
static const char *put(msgpack_packer *p, const char *at);

static const char *put_list(msgpack_packer *p, const char *at, char end)
{
	msgpack_sbuffer buf;
	msgpack_packer inner;
	size_t n = 0;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&inner, &buf, msgpack_sbuffer_write);
	while (*at != end) {
		const char *eq = at;

		if (end == '}') {
			eq = strchr(at, '=');
			msgpack_pack_str(&inner, (size_t)(eq - at));
			msgpack_pack_str_body(&inner, at, (size_t)(eq - at));
			eq++;
		}
		at = put(&inner, eq);
		n++;
		if (*at == ',')
			at++;
	}
	if (end == '}')
		msgpack_pack_map(p, n);
	else
		msgpack_pack_array(p, n);
	msgpack_sbuffer_write(p->data, buf.data ? buf.data : "", buf.size);
	msgpack_sbuffer_destroy(&buf);
	return at + 1;
}

static const char *put(msgpack_packer *p, const char *at)
{
	size_t len = strcspn(at, ",}]");
	char *text;
	char *end;
	long long v;

	if (*at == '{' || *at == '[')
		return put_list(p, at + 1, *at == '{' ? '}' : ']');
	text = g_strndup(at, len);
	v = strtoll(text, &end, 10);
	if (strcmp(text, "true") == 0) {
		msgpack_pack_true(p);
	} else if (strcmp(text, "nil") == 0) {
		msgpack_pack_nil(p);
	} else if (*end == '\0' && end != text) {
		msgpack_pack_int64(p, v);
	} else if (*text == '.') {
		msgpack_pack_double(p, g_ascii_strtod(text, NULL));
	} else {
		msgpack_pack_str(p, len);
		msgpack_pack_str_body(p, text, len);
	}
	g_free(text);
	return at + len;
}

static GBytes *doc(const char *text)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	GBytes *b;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	put(&p, text);
	b = g_bytes_new(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return b;
}

static struct lstr view(GBytes *b)
{
	gsize len;
	const char *p = g_bytes_get_data(b, &len);

	return lstr_n(p, len);
}

#define ROUTE                                                  \
	"name=r,hostname=h.example,path-prefix=/a/,backend=s," \
	"timeout-ms=3000,slo-ms=600,attempts=3,priority=1,stretch=.5"
#define SERVICE "{name=s,enforces-capacity=true,standby=nil}"

static struct jtb_config *read_config(const char *text)
{
	GBytes *b = doc(text);
	struct jtb_config *c = plt_config(view(b), NULL);

	g_bytes_unref(b);
	return c;
}

static void a_configuration_is_read(void **state)
{
	struct jtb_config *c = read_config("{version=7,routes=[{" ROUTE
					   "}],services=[" SERVICE "]}");
	const struct jtb_queue *q;

	assert_non_null(c);
	assert_int_equal(c->version, 7);
	q = jtb_route(c, "h.example", "/a/0123");
	assert_non_null(q);
	assert_string_equal(q->pool, "s");
	assert_int_equal(q->slack_ms, 600);
	assert_int_equal(q->attempts, 3);
	assert_null(jtb_route(c, "h.example", "/b/0123"));
	assert_null(jtb_route(c, "x.example", "/a/0123"));
	assert_true(jtb_pool(c, "s")->enforces_capacity);
	jtb_config_free(c);
}

/* What isn't valid is never acknowledged, whatever is wrong with it. */
static void what_is_wrong_with_a_configuration(void **state)
{
	static const char *const bad[] = {
		"{routes=[{" ROUTE "}],services=[" SERVICE "]}",
		"{version=0,routes=[{" ROUTE "}],services=[" SERVICE "]}",
		"{version=x,routes=[{" ROUTE "}],services=[" SERVICE "]}",
		"{version=7,routes=[{" ROUTE "}]}",
		"{version=7,services=[" SERVICE "]}",
		/* a pool that isn't there */
		"{version=7,routes=[{" ROUTE "}],services=[{name=t}]}",
		/* two at one place */
		"{version=7,routes=[{" ROUTE "},{" ROUTE "}],services=[" SERVICE
		"]}",
		"{version=7,routes=[{name=r,hostname=h,path-prefix=/a/,"
		"backend=s,timeout-ms=0}],services=[" SERVICE "]}",
		"{version=7,routes=[{name=r,hostname=h,path-prefix=/a/,"
		"backend=s}],services=[" SERVICE "]}",
		"{version=7,routes=[{hostname=h,path-prefix=/a/,backend=s,"
		"timeout-ms=1}],services=[" SERVICE "]}",
		"[1]",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_null(read_config(bad[i]));
	assert_null(plt_config(lstr_n("", 0), NULL));
}

/* Cut short at any byte it is no configuration. */
static void a_configuration_cut_short_is_none(void **state)
{
	GBytes *b =
		doc("{version=7,routes=[{" ROUTE "}],services=[" SERVICE "]}");
	struct lstr all = view(b);
	size_t i;

	for (i = 0; i < all.len; i++) {
		char *cut = g_memdup2(all.p, i ? i : 1);

		assert_null(plt_config(lstr_n(cut, i), NULL));
		g_free(cut);
	}
	g_bytes_unref(b);
}

#define KEYED(tenants)                                                        \
	"{version=7,routes=[{" ROUTE "},{" OPEN_ROUTE "}],services=[" SERVICE \
	"],tenants=[" tenants "]}"
#define OPEN_ROUTE                                                         \
	"name=o,hostname=h.example,path-prefix=/o/,backend=s,public=true," \
	"timeout-ms=3000"

static void organisations_are_read(void **state)
{
	struct jtb_config *c = read_config(
		KEYED("{name=a,api-keys=[k1,k2],weight=3,maximum={cpu=5000,"
		      "mem-mb=64,gpus=2}},{name=b,api-keys=[]},{name=c}"));
	const struct org *o;

	assert_non_null(c);
	assert_int_equal(orgs_count(c->orgs), 3);
	o = orgs_by_key(c->orgs, LSTR("k2"));
	assert_non_null(o);
	assert_string_equal(o->name, "a");
	assert_true(o->weight > 2.9 && o->weight < 3.1);
	assert_int_equal(o->limit.cpu, 5000);
	assert_int_equal(o->limit.mem_mb, 64);
	assert_int_equal(o->limit.gpus, 2);
	assert_null(orgs_by_key(c->orgs, LSTR("k")));
	assert_null(orgs_by_key(c->orgs, LSTR("")));
	assert_int_equal(orgs_by_name(c->orgs, "b")->limit.cpu, 0);
	assert_false(jtb_queue(c, "r")->open);
	assert_true(jtb_queue(c, "o")->open);
	jtb_config_free(c);
}

/* Queues of an installation without organisations need no key. */
static void queues_without_organisations_are_open(void **state)
{
	struct jtb_config *c = read_config("{version=7,routes=[{" ROUTE
					   "}],services=[" SERVICE "]}");

	assert_true(jtb_queue(c, "r")->open);
	jtb_config_free(c);
}

/*
 * Guards against queues that open as their last organisation goes: an empty
 * list still asks for keys.
 */
static void queues_stay_closed_without_any_key(void **state)
{
	struct jtb_config *c = read_config(KEYED(""));

	assert_non_null(c);
	assert_false(jtb_queue(c, "r")->open);
	jtb_config_free(c);
}

static void what_is_wrong_with_organisations(void **state)
{
	static const struct {
		const char *text;
		const char *why;
	} bad[] = {
		{KEYED("{name=a,api-keys=[k]},{name=b,api-keys=[k]}"),
		 "tenant 1: a key is listed twice"},
		{KEYED("{name=a,api-keys=[k,k]}"),
		 "tenant 0: a key is listed twice"},
		{KEYED("{name=a},{name=a}"),
		 "tenant 1: another organisation has its name"},
		{KEYED("{name=,api-keys=[k]}"),
		 "tenant 0: its name is empty or too long"},
		{KEYED("{api-keys=[k]}"),
		 "a field of tenant 0 (\"\") is missing or of another type"},
		{KEYED("{name=a,api-keys=[two words]}"),
		 "tenant 0: a key is empty, too long, or not printable ASCII"},
		{KEYED("{name=a,api-keys=[1]}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("{name=a,api-keys=k}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("{name=a,weight=much}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("{name=a,weight=-2}"),
		 "\"weight\" of tenant 0 (\"a\") is not a finite number "
		 "from 0 on"},
		{KEYED("{name=a,maximum=9}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("{name=a,maximum={cpu=many}}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("{name=a,maximum={cpu=-1}}"),
		 "a field of tenant 0 (\"a\") is missing or of another type"},
		{KEYED("a"),
		 "a field of tenant 0 (\"\") is missing or of another type"},
		{"{version=7,routes=[],services=[],tenants={}}",
		 "\"tenants\" is not a list"},
		{"{version=7,routes=[{" ROUTE ",public=no}],services=[" SERVICE
		 "]}",
		 "a field of route 0 (\"r\") is missing or of another type"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		GBytes *b = doc(bad[i].text);
		GError *err = NULL;

		assert_null(plt_config(view(b), &err));
		assert_non_null(err);
		assert_string_equal(err->message, bad[i].why);
		/* an error reaches logs and answers: it must hold no key */
		assert_null(strstr(err->message, "two words"));
		g_error_free(err);
		g_bytes_unref(b);
	}
}

static void a_callers_key_is_read(void **state)
{
	static const struct {
		const char *header;
		enum hub_key_fault fault;
		const char *key;
	} cases[] = {
		{"Token abc", HUB_KEY_VALID, "abc"},
		{"token abc", HUB_KEY_VALID, "abc"},
		{"Token   abc", HUB_KEY_VALID, "abc"},
		{"", HUB_KEY_MISSING, ""},
		{"Token", HUB_KEY_MALFORMED, ""},
		{"Token ", HUB_KEY_MALFORMED, ""},
		{"Tokenabc", HUB_KEY_MALFORMED, ""},
		{"abc", HUB_KEY_MALFORMED, ""},
		{"Bearer abc", HUB_KEY_MALFORMED, ""},
		{"Tokens abc", HUB_KEY_MALFORMED, ""},
		{" Token abc", HUB_KEY_MALFORMED, ""},
		{"Token abc def", HUB_KEY_MALFORMED, ""},
		{"Token abc ", HUB_KEY_MALFORMED, ""},
		{"Token a\tb", HUB_KEY_MALFORMED, ""},
		{"Token abc\nToken abc", HUB_KEY_MALFORMED, ""},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct lstr key;

		assert_int_equal(plt_key(lstr_from(cases[i].header), &key),
				 cases[i].fault);
		assert_true(lstr_eq(key, lstr_from(cases[i].key)));
	}
}

/*
 * Guards against a call obeyed without a valid key, and against a job shown to
 * another organisation than its own.
 */
static void calls_are_judged_by_their_keys(void **state)
{
	struct jtb_config *c = read_config(
		KEYED("{name=a,api-keys=[ka]},{name=b,api-keys=[kb]}"));
	char closed[] = "r";
	char open[] = "o";
	char a[] = "a";
	struct jtb_job of_a = {.spec = {.queue = closed, .org = a}};
	struct jtb_job open_of_a = {.spec = {.queue = open, .org = a}};
	struct jtb_job of_none = {.spec = {.queue = closed}};
	const struct {
		const char *queue;
		const struct jtb_job *job;
		const char *header;
		enum hub_key_fault why;
		const char *org;
	} cases[] = {
		{"r", NULL, "Token ka", HUB_KEY_VALID, "a"},
		{"r", NULL, "Token kc", HUB_KEY_UNKNOWN, NULL},
		{"r", NULL, "", HUB_KEY_MISSING, NULL},
		{"r", NULL, "Bearer ka", HUB_KEY_MALFORMED, NULL},
		{"r", &of_a, "Token ka", HUB_KEY_VALID, "a"},
		{"r", &of_a, "Token kb", HUB_KEY_OF_OTHER, "b"},
		{"r", &of_a, "Token kc", HUB_KEY_UNKNOWN, NULL},
		{"r", &of_none, "Token kb", HUB_KEY_VALID, "b"},
		{"r", &open_of_a, "Token kb", HUB_KEY_VALID, "b"},
		{"r", &open_of_a, "", HUB_KEY_MISSING, NULL},
		{"o", NULL, "", HUB_KEY_VALID, NULL},
		{"o", NULL, "Token kc", HUB_KEY_VALID, NULL},
		{"o", &open_of_a, "", HUB_KEY_VALID, NULL},
		{"o", &of_a, "", HUB_KEY_MISSING, NULL},
		{"o", &of_a, "Token kb", HUB_KEY_OF_OTHER, "b"},
		{"o", &of_a, "Token ka", HUB_KEY_VALID, "a"},
	};
	size_t i;

	assert_non_null(c);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct org *org;
		struct lstr key;

		assert_int_equal(
			plt_judge(c, jtb_queue(c, cases[i].queue), cases[i].job,
				  lstr_from(cases[i].header), &key, &org),
			cases[i].why);
		assert_true((org != NULL) == (cases[i].org != NULL));
		if (org)
			assert_string_equal(org->name, cases[i].org);
	}
	jtb_config_free(c);
}

static bool read_job(const char *text, struct jtb_spec *out)
{
	GBytes *b = doc(text);
	bool ok = plt_job("5c0e7a21d94b36f8", "r", view(b), out);

	g_bytes_unref(b);
	return ok;
}

static void a_job_is_read(void **state)
{
	struct jtb_spec s;

	assert_true(read_job(
		"{task-spec=text,phases=[{count=4,cpu=500,mem-mb=256,"
		"estimate-ms=900,data-rack=r1},{count=20,cpu=2000,after=[0],"
		"checkpointing=true,anti-affinity=2,long-running=true,"
		"may-miss=1,target-ms=50,fills=true,image=i}]}",
		&s));
	assert_int_equal(s.n_steps, 2);
	assert_int_equal(s.steps[0].estimate_ms, 900);
	assert_string_equal(s.steps[0].rack, "r1");
	assert_int_equal(s.steps[1].after, 1);
	assert_int_equal(s.steps[1].max_per_worker, 2);
	assert_int_equal(s.steps[1].may_miss, 1);
	assert_int_equal(s.steps[1].slo_ms, 50);
	assert_int_equal(s.steps[1].flags,
			 JTB_CHECKPOINTS | JTB_LONG_RUNNING | JTB_BEST_EFFORT);
	assert_string_equal(s.text, "text");
	jtb_spec_clear(&s);
}

static void what_is_wrong_with_a_job(void **state)
{
	static const char *const bad[] = {
		"{phases=[{count=1}]}",
		"{task-spec=t}",
		"{task-spec=t,phases=[]}",
		"{task-spec=t,phases=[{cpu=1}]}",
		"{task-spec=t,phases=[{count=0}]}",
		"{task-spec=t,phases=[{count=1,cpu=many}]}",
		"{task-spec=t,phases=[{count=1,after=[0]}]}",
		"{task-spec=t,phases=[{count=1},{count=1,after=[1]}]}",
		"{task-spec=t,phases=[{count=30000}]}",
		"{task-spec=t,phases=[{count=1}],repeat-count=5}",
	};
	struct jtb_spec s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_false(read_job(bad[i], &s));
}

static void a_workers_list_is_read(void **state)
{
	GBytes *b = doc("{clock-ms=482113,running=[[j.0.1.17,2,c,41,7],[bad],"
			"[j.0.1.18,1,,nil]],finished=[[58,j.0.1.9,1,done,],"
			"[59,x,1,failed,],[60,j.0.1.8,3,stopped,sv]]}");
	struct wkr_report r;
	const struct wkr_row *row;
	const struct wkr_end *e;

	assert_true(plt_codec.report(view(b), &r));
	assert_int_equal(r.clock_ms, 482113);
	assert_true(r.partial);
	assert_int_equal(r.rows->len, 2);
	row = &g_array_index(r.rows, struct wkr_row, 0);
	assert_int_equal(row->name.index, 17);
	assert_int_equal(row->attempt, 2);
	assert_int_equal(row->percent, 41);
	assert_int_equal(row->figure, 7);
	assert_int_equal(r.ends->len, 3);
	e = &g_array_index(r.ends, struct wkr_end, 0);
	assert_true(e->known && e->how == JTB_DONE && e->no == 58);
	/* its number must be confirmed though its name says nothing */
	e = &g_array_index(r.ends, struct wkr_end, 1);
	assert_true(!e->known && e->no == 59);
	e = &g_array_index(r.ends, struct wkr_end, 2);
	assert_true(e->how == JTB_STOPPED && lstr_eq(e->saved, LSTR("sv")));
	plt_codec.report_done(&r);
	g_bytes_unref(b);
}

/* Whether a list of so many ends, and that row, is taken for a whole one. */
static bool is_whole(guint ends, const char *row)
{
	GString *text = g_string_new("{clock-ms=1,running=[");
	struct wkr_report r;
	GBytes *b;
	bool whole;
	guint i;

	g_string_append_printf(text, "%s],finished=[", row);
	for (i = 0; i < ends; i++)
		g_string_append_printf(text, "%s[%u,j.0.0.%u,1,done,]",
				       i ? "," : "", i + 1, i);
	g_string_append(text, "]}");
	b = doc(text->str);
	assert_true(plt_codec.report(view(b), &r));
	whole = !r.partial;
	plt_codec.report_done(&r);
	g_bytes_unref(b);
	g_string_free(text, TRUE);
	return whole;
}

/* Guards against runs taken as over that a list just doesn't tell. */
static void a_list_that_tells_only_a_part_is_known(void **state)
{
	assert_true(is_whole(499, "[j.0.1.17,2,c,41,7]"));
	assert_false(is_whole(500, "[j.0.1.17,2,c,41,7]"));
	assert_false(is_whole(1, "[j.0.1.17,two,c,41,7]"));
}

static void answers_are_told_apart(void **state)
{
	static const struct {
		int status;
		const char *body;
		enum wkr_answer answer;
	} cases[] = {
		{200, "{clock-ms=5}", WKR_YES},
		{409, "{clock-ms=5,reason=fence}", WKR_FENCED},
		{409, "{clock-ms=5,reason=old}", WKR_RUN_OVER},
		{409, "{clock-ms=5,reason=late}", WKR_LEASE_EXPIRED},
		{409, "{clock-ms=5,reason=room}", WKR_NO_CAPACITY},
		{409, "{clock-ms=5,reason=ticket}", WKR_NO_TICKET},
		{409, "{clock-ms=5,reason=new}", WKR_UNREADABLE},
		{421, "{clock-ms=5}", WKR_OTHER_INSTANCE},
		{429, "{clock-ms=5}", WKR_UNHEALTHY},
		{503, "{clock-ms=5}", WKR_UNHEALTHY},
		{400, "{clock-ms=5}", WKR_MALFORMED},
		{500, "{clock-ms=5}", WKR_UNREADABLE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *b = doc(cases[i].body);
		int64_t clock_ms;

		assert_int_equal(plt_codec.answer(cases[i].status, view(b),
						  &clock_ms),
				 cases[i].answer);
		assert_int_equal(clock_ms, 5);
		g_bytes_unref(b);
	}
}

static void an_order_is_written(void **state)
{
	struct wkr_order o = {
		.kind = WKR_START,
		.task = "j.0.1.2",
		.attempt = 3,
		.text = "t",
		.saved = "sv",
		.fence = 9,
		.until_ms = 777,
	};
	struct evbuffer *body = evbuffer_new();
	struct plt_doc d;
	struct lstr text;
	uint64_t v;

	assert_string_equal(plt_codec.write(&o, body), "/v1/run-start");
	assert_true(plt_doc_open(&d, lstr_n(evbuffer_pullup(body, -1),
					    evbuffer_get_length(body))));
	assert_true(plt_text(d.root, "task", &text));
	assert_true(lstr_eq(text, LSTR("j.0.1.2")));
	assert_true(plt_whole(d.root, "attempt", &v) && v == 3);
	assert_true(plt_whole(d.root, "fencing-token", &v) && v == 9);
	assert_true(plt_whole(d.root, "until-ms", &v) && v == 777);
	assert_true(plt_text(d.root, "checkpoint", &text));
	plt_doc_done(&d);
	evbuffer_free(body);
}

static void vms_are_read_page_by_page(void **state)
{
	GBytes *b = doc("{machines=[{machine=m1,pool=p,state=up,id=i1,"
			"capacity={cpu=16000,mem-mb=100}},{machine=m2,pool=q,"
			"state=upkeep,id=nil}],next-token=t2}");
	GPtrArray *vms = g_ptr_array_new_with_free_func(vms_vm_free);
	const struct vms_vm *vm;
	GPtrArray *unreadable = g_ptr_array_new_with_free_func(g_free);
	char *next = NULL;

	assert_true(plt_vm_codec.list(view(b), vms, &next, unreadable));
	assert_int_equal(unreadable->len, 0);
	assert_string_equal(next, "t2");
	assert_int_equal(vms->len, 2);
	vm = g_ptr_array_index(vms, 0);
	assert_string_equal(vm->worker, "i1");
	assert_int_equal(vm->cpu, 16000);
	vm = g_ptr_array_index(vms, 1);
	assert_string_equal(vm->worker, "");
	assert_int_equal(vm->state, VMS_UPKEEP);
	g_free(next);
	g_ptr_array_free(unreadable, TRUE);
	g_ptr_array_free(vms, TRUE);
	g_bytes_unref(b);
}

/*
 * Guards against a fleet without VMs or workers as another writer's entry
 * can't be read, and against an entry's VM that counts as gone.
 */
static void an_unreadable_vm_hides_no_other(void **state)
{
	static const struct {
		const char *row;
		const char *name;
	} bad[] = {
		{"{machine=7,pool=p,state=up,id=i2}", ""},
		{"{machine=m2,state=up,id=i2}", "m2"},
		{"{machine=m2,pool=p,state=asleep,id=i2}", "m2"},
		{"{machine=m2,pool=p,state=up,id=[i2]}", "m2"},
		{"{machine=m2,pool=p,state=up,id=i2,capacity={cpu=many}}",
		 "m2"},
		{"m2", ""},
		{"[m2]", ""},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *text = g_strdup_printf(
			"{machines=[%s,{machine=m1,pool=p,state=up,id=i1}]}",
			bad[i].row);
		GPtrArray *vms = g_ptr_array_new_with_free_func(vms_vm_free);
		GBytes *b = doc(text);
		GPtrArray *unreadable = g_ptr_array_new_with_free_func(g_free);
		char *next = NULL;

		assert_true(plt_vm_codec.list(view(b), vms, &next, unreadable));
		assert_int_equal(unreadable->len, 1);
		assert_string_equal(g_ptr_array_index(unreadable, 0),
				    bad[i].name);
		assert_int_equal(vms->len, 1);
		assert_string_equal(
			((struct vms_vm *)g_ptr_array_index(vms, 0))->name,
			"m1");
		g_ptr_array_free(unreadable, TRUE);
		g_ptr_array_free(vms, TRUE);
		g_bytes_unref(b);
		g_free(text);
	}
}

#define REPORT                                                      \
	"backend=p,address=10.0.0.1:80,zone=z,capacity={cpu=16000," \
	"mem-mb=100},sequence=4,clock-ms=9"

/* Reads a report that consists of REPORT and more. */
static enum hub_report_fault read_report(const char *more, int64_t *started_ms,
					 int64_t *leaves_in_ms)
{
	char *text = g_strdup_printf("{" REPORT ",%s}", more);
	GBytes *b = doc(text);
	struct plt_report r;
	enum hub_report_fault fault = plt_report_read("i1", view(b), &r);

	*started_ms = r.info.started_ms;
	*leaves_in_ms = r.leaves_in_ms;
	jtb_worker_info_clear(&r.info);
	g_bytes_unref(b);
	g_free(text);
	return fault;
}

/* Guards against another writer's report that names a worker to use. */
static void reports_of_workers_are_judged(void **state)
{
	static const struct {
		const char *more;
		enum hub_report_fault fault;
		int64_t started_ms;
		int64_t leaves_in_ms;
	} cases[] = {
		{"state=ready", HUB_REPORT_USABLE, 0, 0},
		{"state=ready,born=nil", HUB_REPORT_USABLE, 0, 0},
		{"state=ready,born=7", HUB_REPORT_USABLE, 7, 0},
		{"state=ready,born=0", HUB_REPORT_USABLE, -1, 0},
		{"state=ready,born=-7", HUB_REPORT_USABLE, -1, 0},
		{"state=ready,born=.5", HUB_REPORT_USABLE, -1, 0},
		{"state=ready,born=soon", HUB_REPORT_USABLE, -1, 0},
		{"state=draining,remaining-ms=1500", HUB_REPORT_USABLE, 0,
		 1500},
		{"state=draining,remaining-ms=x", HUB_REPORT_UNREADABLE, 0, 0},
		{"state=asleep", HUB_REPORT_UNKNOWN, 0, 0},
		{"state=7", HUB_REPORT_UNREADABLE, 0, 0},
		{"zone=z", HUB_REPORT_UNREADABLE, 0, 0},
		{"state=ready,labels=a", HUB_REPORT_UNREADABLE, 0, 0},
		{"state=ready,labels=[a,7]", HUB_REPORT_UNREADABLE, 0, 0},
		{"state=ready,labels=[a,r1]", HUB_REPORT_USABLE, 0, 0},
	};
	int64_t started_ms;
	int64_t leaves_in_ms;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		assert_int_equal(read_report(cases[i].more, &started_ms,
					     &leaves_in_ms),
				 cases[i].fault);
		if (cases[i].fault)
			continue;
		assert_int_equal(started_ms, cases[i].started_ms);
		assert_int_equal(leaves_in_ms, cases[i].leaves_in_ms);
	}
}

/* A list of runs names the lifetime that it is of. */
static void a_list_names_its_lifetime(void **state)
{
	static const struct {
		const char *born;
		int64_t started_ms;
	} cases[] = {
		{"", 0}, {",born=7", 7}, {",born=x", -1}, {",born=.5", -1}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf("{running=[],finished=[]%s}",
					     cases[i].born);
		GBytes *b = doc(text);
		struct wkr_report r;

		assert_true(plt_codec.report(view(b), &r));
		assert_int_equal(r.started_ms, cases[i].started_ms);
		plt_codec.report_done(&r);
		g_bytes_unref(b);
		g_free(text);
	}
}

/* How long calls for advice take, and how long their tickets hold. */
static void advice_of_a_queue_is_read(void **state)
{
	struct jtb_config *c = read_config(
		"{version=7,routes=[{" ROUTE
		",advice={decision-ms=200,period-ms=5,validity-ms=20000}}],"
		"services=[" SERVICE "]}");
	const struct jtb_queue *q = jtb_route(c, "h.example", "/a/0123");

	assert_true(q->advised);
	assert_int_equal(q->advice_ms, 200);
	assert_int_equal(q->advice_each_ms, 5);
	assert_int_equal(q->advice_valid_ms, 20000);
	jtb_config_free(c);
	c = read_config("{version=7,routes=[{" ROUTE
			",advice={validity-ms=x}}],services=[" SERVICE "]}");
	assert_null(c);
}

static void advice_is_asked_for(void **state)
{
	struct adv_query ask = {
		.step = {.id = "0a", .turn = 2, .step = 1},
		.workers = g_ptr_array_new(),
	};
	struct evbuffer *body = evbuffer_new();
	const msgpack_object_array *list;
	struct plt_doc d;
	struct lstr text;

	g_ptr_array_add(ask.workers, (gpointer) "i1");
	g_ptr_array_add(ask.workers, (gpointer) "i2");
	assert_string_equal(plt_advice_codec.write(&ask, body), "/v1/advise");
	assert_true(plt_doc_open(&d, lstr_n(evbuffer_pullup(body, -1),
					    evbuffer_get_length(body))));
	assert_true(plt_text(d.root, "step", &text));
	assert_true(lstr_eq(text, LSTR("0a.2.1")));
	list = plt_list(d.root, "workers");
	assert_int_equal(list->size, 2);
	assert_true(plt_is_text(&list->ptr[1], &text));
	assert_true(lstr_eq(text, LSTR("i2")));
	plt_doc_done(&d);
	evbuffer_free(body);
	g_ptr_array_free(ask.workers, TRUE);
}

/* Who is missing from an answer may never run the step: none is half read. */
static void advice_is_read_whole_or_not(void **state)
{
	static const struct {
		int status;
		const char *body;
		enum adv_result result;
		guint rows;
	} cases[] = {
		{200, "{approved=[[i1,t1],[i2,t2]],validity-ms=3000}", ADV_OK,
		 2},
		{200, "{approved=[]}", ADV_OK, 0},
		{200, "{version=1}", ADV_OK, 0},
		{200, "{approved=5}", ADV_MALFORMED, 0},
		{200, "{approved=[[i1,t1],[i2]]}", ADV_MALFORMED, 1},
		{200, "[]", ADV_MALFORMED, 0},
		{429, "{version=1}", ADV_BUSY, 0},
		{400, "{version=1}", ADV_REJECTED, 0},
		{503, "{version=1}", ADV_UNAVAILABLE, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
		GBytes *b = doc(cases[i].body);
		int64_t valid = 7;

		assert_int_equal(plt_advice_codec.answer(cases[i].status,
							 view(b), rows, &valid),
				 cases[i].result);
		assert_int_equal(valid, i ? 7 : 3000);
		assert_int_equal(rows->len, cases[i].rows);
		if (rows->len) {
			const struct adv_row *row = g_ptr_array_index(rows, 0);

			assert_string_equal(row->worker, "i1");
			assert_string_equal(row->ticket, "t1");
		}
		g_bytes_unref(b);
		g_ptr_array_free(rows, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_configuration_is_read),
		cmocka_unit_test(what_is_wrong_with_a_configuration),
		cmocka_unit_test(a_configuration_cut_short_is_none),
		cmocka_unit_test(a_job_is_read),
		cmocka_unit_test(what_is_wrong_with_a_job),
		cmocka_unit_test(a_workers_list_is_read),
		cmocka_unit_test(a_list_that_tells_only_a_part_is_known),
		cmocka_unit_test(answers_are_told_apart),
		cmocka_unit_test(an_order_is_written),
		cmocka_unit_test(vms_are_read_page_by_page),
		cmocka_unit_test(an_unreadable_vm_hides_no_other),
		cmocka_unit_test(reports_of_workers_are_judged),
		cmocka_unit_test(a_list_names_its_lifetime),
		cmocka_unit_test(advice_of_a_queue_is_read),
		cmocka_unit_test(advice_is_asked_for),
		cmocka_unit_test(advice_is_read_whole_or_not),
		cmocka_unit_test(organisations_are_read),
		cmocka_unit_test(queues_without_organisations_are_open),
		cmocka_unit_test(queues_stay_closed_without_any_key),
		cmocka_unit_test(what_is_wrong_with_organisations),
		cmocka_unit_test(a_callers_key_is_read),
		cmocka_unit_test(calls_are_judged_by_their_keys),
	};

	return cmocka_run_group_tests_name("plt", tests, NULL, NULL);
}
