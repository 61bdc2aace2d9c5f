#include "common/fiber.h"

#include <errno.h>
#include <glib.h>
#include <stdint.h>
#include <sys/mman.h>
#include <ucontext.h>
#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_ASAN 1
#endif

/* Only the pages in use take memory. */
#define STACK_BYTES ((size_t)(1024 * 1024))

struct fiber {
	void (*run)(void *data);
	void *data;
	uint8_t *mapping; /* a guard page, then the stack */
	size_t guard_bytes;
	ucontext_t inside; /* where the function continues */
	ucontext_t outside; /* where fiber_resume() continues */
	bool has_returned;
#ifdef FIBER_ASAN
	const void *outside_stack;
	size_t outside_stack_bytes;
	void *inside_fake;
#endif
};

/* AddressSanitizer must know which stack is in use. */
static void enter_begin(struct fiber *fiber, void **outside_fake)
{
#ifdef FIBER_ASAN
	__sanitizer_start_switch_fiber(
		outside_fake, fiber->mapping + fiber->guard_bytes, STACK_BYTES);
#else
	(void)fiber;
	(void)outside_fake;
#endif
}

static void enter_end(struct fiber *fiber)
{
#ifdef FIBER_ASAN
	__sanitizer_finish_switch_fiber(fiber->inside_fake, &fiber->outside_stack,
					&fiber->outside_stack_bytes);
#else
	(void)fiber;
#endif
}

static void leave_begin(struct fiber *fiber)
{
#ifdef FIBER_ASAN
	/* Without a place to keep it, the fake stack is freed. */
	__sanitizer_start_switch_fiber(
		fiber->has_returned ? NULL : &fiber->inside_fake,
		fiber->outside_stack, fiber->outside_stack_bytes);
#else
	(void)fiber;
#endif
}

static void leave_end(void *outside_fake)
{
#ifdef FIBER_ASAN
	__sanitizer_finish_switch_fiber(outside_fake, NULL, NULL);
#else
	(void)outside_fake;
#endif
}

/* makecontext(3) passes only arguments of type int. */
static void run_fiber(unsigned int high, unsigned int low)
{
	struct fiber *fiber =
		(struct fiber *)(((uintptr_t)high << 32) | (uintptr_t)low);

	enter_end(fiber);
	fiber->run(fiber->data);
	fiber->has_returned = true;
	leave_begin(fiber);
	/* Returns to uc_link, which is outside. */
}

struct fiber *fiber_create(void (*run)(void *data), void *data)
{
	struct fiber *fiber = g_new0(struct fiber, 1);
	uintptr_t self = (uintptr_t)fiber;

	fiber->run = run;
	fiber->data = data;
	fiber->guard_bytes = (size_t)sysconf(_SC_PAGESIZE);
	fiber->mapping = mmap(NULL, fiber->guard_bytes + STACK_BYTES,
			      PROT_READ | PROT_WRITE,
			      MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
	if (fiber->mapping == MAP_FAILED ||
	    mprotect(fiber->mapping, fiber->guard_bytes, PROT_NONE) < 0)
		g_error("no memory for a stack of %zu bytes: %s", STACK_BYTES,
			g_strerror(errno));
	getcontext(&fiber->inside);
	fiber->inside.uc_stack.ss_sp = fiber->mapping + fiber->guard_bytes;
	fiber->inside.uc_stack.ss_size = STACK_BYTES;
	fiber->inside.uc_link = &fiber->outside;
	makecontext(&fiber->inside, (void (*)(void))run_fiber, 2,
		    (unsigned int)((uint64_t)self >> 32), (unsigned int)self);
	return fiber;
}

void fiber_destroy(struct fiber *fiber)
{
	if (!fiber)
		return;
	munmap(fiber->mapping, fiber->guard_bytes + STACK_BYTES);
	g_free(fiber);
}

bool fiber_resume(struct fiber *fiber)
{
	void *outside_fake = NULL;

	enter_begin(fiber, &outside_fake);
	swapcontext(&fiber->outside, &fiber->inside);
	leave_end(outside_fake);
	return fiber->has_returned;
}

void fiber_suspend(struct fiber *fiber)
{
	leave_begin(fiber);
	swapcontext(&fiber->inside, &fiber->outside);
	enter_end(fiber);
}
