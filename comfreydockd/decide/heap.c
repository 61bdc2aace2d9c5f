#include "comfreydockd/decide/heap.h"

void heap_init(struct heap *heap, heap_is_before is_before)
{
	heap->root = NULL;
	heap->is_before = is_before;
}

/* Joins two trees whose roots have no siblings. Returns the new root. */
static struct heap_node *heap_join(const struct heap *heap, struct heap_node *a,
				   struct heap_node *b)
{
	struct heap_node *top = a;
	struct heap_node *below = b;

	if (!a || !b)
		return a ? a : b;
	if (heap->is_before(b, a)) {
		top = b;
		below = a;
	}
	below->prev = top;
	below->next = top->child;
	if (top->child)
		top->child->prev = below;
	top->child = below;
	return top;
}

/* Joins siblings in pairs from left to right, then the pairs from right to
 * left. */
static struct heap_node *heap_join_siblings(const struct heap *heap,
					    struct heap_node *first)
{
	struct heap_node *pairs = NULL;
	struct heap_node *joined = NULL;

	while (first) {
		struct heap_node *a = first;
		struct heap_node *b = a->next;
		struct heap_node *pair;

		first = b ? b->next : NULL;
		a->next = NULL;
		if (b)
			b->next = NULL;
		pair = heap_join(heap, a, b);
		pair->next = pairs;
		pairs = pair;
	}
	while (pairs) {
		struct heap_node *pair = pairs;

		pairs = pair->next;
		pair->next = NULL;
		joined = heap_join(heap, joined, pair);
	}
	if (joined)
		joined->prev = NULL;
	return joined;
}

void heap_insert(struct heap *heap, struct heap_node *node)
{
	node->child = NULL;
	node->next = NULL;
	node->prev = NULL;
	heap->root = heap_join(heap, heap->root, node);
}

static void heap_detach(struct heap_node *node)
{
	if (node->prev->child == node)
		node->prev->child = node->next;
	else
		node->prev->next = node->next;
	if (node->next)
		node->next->prev = node->prev;
}

void heap_remove(struct heap *heap, struct heap_node *node)
{
	struct heap_node *children = heap_join_siblings(heap, node->child);

	if (node == heap->root) {
		heap->root = children;
	} else {
		heap_detach(node);
		heap->root = heap_join(heap, heap->root, children);
	}
	node->child = NULL;
	node->next = NULL;
	node->prev = NULL;
}

struct heap_node *heap_first(const struct heap *heap)
{
	return heap->root;
}
