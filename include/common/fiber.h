/*
 * NAME
 *	fiber - runs a function on a stack of its own, in several parts
 *
 * DESCRIPTION
 *	fiber_resume() runs the function until it calls fiber_suspend() or
 *	returns, and then returns to its own caller. All runs in one thread: the
 *	function only progresses within fiber_resume(), and what it calls must
 *	not suspend it while it runs on another stack.
 *
 *	A fiber that is destroyed before its function has returned leaks what
 *	the function owned.
 *
 * SOURCE
 *	makecontext(3)
 */
#ifndef COMMON_FIBER_H
#define COMMON_FIBER_H

#include <stdbool.h>

struct fiber;

/* Aborts if no memory can be had for the stack. */
struct fiber *fiber_create(void (*run)(void *data), void *data);
void fiber_destroy(struct fiber *fiber);

/* RETURN VALUE: whether the function has returned. */
bool fiber_resume(struct fiber *fiber);

/* Continues after the fiber_resume() that runs this fiber. Only the fiber's own
 * function may call this. */
void fiber_suspend(struct fiber *fiber);

#endif
