#ifndef VMS_H
#define VMS_H

/* Client of the platform service that lists, moves and maintains VMs. */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "tmr.h"
#include "ups.h"

/*
 * The leader's session with the platform service: it reads the VM list and
 * orders upkeep and moves between pools. An order may be sent any number of
 * times.
 */
struct vms;

/* Most connections to the platform service. */
#define VMS_CONNS_MAX 16

enum vms_state {
	VMS_UP,
	VMS_MOVING,
	VMS_UPKEEP,
	VMS_DOWN,
};

struct vms_vm {
	char *name;
	char *pool;
	char *worker; /* id of the worker on it; "": none */
	enum vms_state state;
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem_mb;
};

enum vms_answer {
	VMS_ACCEPTED,
	VMS_FENCED, /* refused: a later leader has given orders for the VM */
	VMS_BUSY, /* refused: the VM is not up, or is being taken down */
	VMS_OTHER_WAVE, /* refused: the VM is not due in that wave */
	VMS_NO_SUCH,
	VMS_RATE_LIMITED, /* refused: too many calls */
	VMS_UNANSWERED, /* no answer: the order may still be carried out */
};

enum vms_kind {
	VMS_LIST,
	VMS_DO_UPKEEP,
	VMS_DO_MOVE,
};

struct vms_order {
	enum vms_kind kind;
	const char *vm;
	const char *pool; /* for a move */
	uint64_t wave; /* for upkeep */
	const char *page; /* for a list: the page; NULL for the first */
	const char *holder;
	uint64_t fence;
};

#define VMS_HEADERS_MAX 4

/* Encodes orders and decodes answers. */
struct vms_codec {
	/*
	 * Writes the request body and headers; returns the path, to be freed
	 * with g_free. Header values are static or belong to the order or to
	 * scratch.
	 */
	char *(*write)(const struct vms_order *o, struct evbuffer *body,
		       struct ups_header *headers, size_t *n_headers,
		       char *scratch, size_t scratch_size);
	/* Returns the meaning of an answer to an order. */
	enum vms_answer (*answer)(int status, struct lstr body);
	/*
	 * Adds the page's struct vms_vm; *next is the next page, to be freed,
	 * or NULL. Of each row that can't be read, the VM's name is added to
	 * unreadable, "" if that can't be read either. Returns false if the
	 * page is malformed.
	 */
	bool (*list)(struct lstr body, GPtrArray *vms, char **next,
		     GPtrArray *unreadable);
};

struct vms_ops {
	/* A complete list was read. */
	void (*listed)(void *arg);
	/* An order was answered, failed or was aborted. */
	void (*answered)(void *arg, enum vms_kind kind, const char *vm,
			 enum vms_answer answer);
	/* Returns when leadership was last confirmed, by tmr's clock. */
	int64_t (*confirmed_ms)(void *arg);
};

struct vms_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct vms_codec *codec;
	const char *addr; /* IP:PORT */
	/* name of this replica, sent as the holder of orders */
	const char *node;
};

struct vms *vms_new(const struct vms_config *config, const struct vms_ops *ops,
		    void *arg);
void vms_free(struct vms *v);
void vms_start(struct vms *v, uint64_t fence);
void vms_stop(struct vms *v);
void vms_refresh(struct vms *v);
void vms_put_unreadable(struct vms *v, GPtrArray *names);
void vms_put_list(struct vms *v, GPtrArray *list, int64_t asked_ms);
void vms_upkeep(struct vms *v, const char *vm, uint64_t wave);
void vms_move(struct vms *v, const char *vm, const char *pool);
bool vms_has_order(const struct vms *v, const char *vm);
GPtrArray *vms_all(const struct vms *v);
const struct vms_vm *vms_find(const struct vms *v, const char *name);
const struct vms_vm *vms_of_worker(const struct vms *v, const char *worker);
const struct vms_vm *vms_last_of_worker(const struct vms *v,
					const char *worker);
void vms_forget_worker(struct vms *v, const char *worker);
bool vms_has_unknown_worker(const struct vms *v);
int64_t vms_listed_ms(const struct vms *v);
guint vms_unreadable(const struct vms *v);
bool vms_is_listed(const struct vms *v, const char *name);
uint64_t vms_calls(const struct vms *v);
void vms_vm_free(gpointer p);

#endif
