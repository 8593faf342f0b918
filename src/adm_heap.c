#include "adm_int.h"

static void adm_heap_store(struct adm_heap *h, int pos,
			   struct adm_heap_node *n);
static void adm_heap_sift(struct adm_heap *h, int pos);

static void adm_heap_store(struct adm_heap *h, int pos, struct adm_heap_node *n)
{
	h->nodes[pos] = n;
	n->pos = pos;
}

/* Restores the heap order for the node at a position, moving it up or down. */
static void adm_heap_sift(struct adm_heap *h, int pos)
{
	struct adm_heap_node *n = h->nodes[pos];
	int child;

	while (pos > 0 && h->nodes[(pos - 1) / 2]->key > n->key) {
		adm_heap_store(h, pos, h->nodes[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	while ((child = 2 * pos + 1) < h->len) {
		if (child + 1 < h->len &&
		    h->nodes[child + 1]->key < h->nodes[child]->key)
			child++;
		if (h->nodes[child]->key >= n->key)
			break;
		adm_heap_store(h, pos, h->nodes[child]);
		pos = child;
	}
	adm_heap_store(h, pos, n);
}

/* Inserts a node with a key, or changes the key of a node in the heap. */
void adm_heap_put(struct adm_heap *h, struct adm_heap_node *n, int64_t key)
{
	if (n->pos >= 0 && n->key == key)
		return;
	n->key = key;
	if (n->pos < 0) {
		if (h->len == h->cap) {
			h->cap = h->cap ? 2 * h->cap : 16;
			h->nodes = g_renew(struct adm_heap_node *, h->nodes,
					   h->cap);
		}
		adm_heap_store(h, h->len, n);
		h->len++;
	}
	adm_heap_sift(h, n->pos);
}

/* Removes a node; does nothing if it is in no heap. */
void adm_heap_remove(struct adm_heap *h, struct adm_heap_node *n)
{
	int pos = n->pos;

	if (pos < 0)
		return;
	n->pos = -1;
	h->len--;
	if (pos == h->len)
		return;
	adm_heap_store(h, pos, h->nodes[h->len]);
	adm_heap_sift(h, pos);
}

/* Frees the heap's memory, but not the structures that its nodes are in. */
void adm_heap_clear(struct adm_heap *h)
{
	g_free(h->nodes);
	h->nodes = NULL;
	h->len = 0;
	h->cap = 0;
}
