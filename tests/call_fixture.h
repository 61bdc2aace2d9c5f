/*
 * NAME
 *	call_fixture - requests over a socket to an entry with one owner, which
 *	does what their paths ask for
 *
 * DESCRIPTION
 *	The owner is beside the entry, on the link in memory. It sends a head, or
 *	a head and a part, to /short-head, /long-head, /no-length-part, /short-part
 *	and /long-part; answers to all other paths are left to the test. The
 *	program must link paused_clock.c.
 */
#ifndef TESTS_CALL_FIXTURE_H
#define TESTS_CALL_FIXTURE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/caller/listener.h"
#include "comfreydockd/peer/peers.h"
#include "entry_fixture.h"

#define DEADLINE_MS 800
#define STEP_MS 10
#define SHORT_BYTES 400
#define LONG_BYTES 90000
#define PART_BYTES 100

struct fixture {
	struct entry_fixture entry;
	struct listener *listener;
	int fd; /* the caller's end */
	GString *answers;
	bool is_closed;
	bool is_reset;
	/* The owner's end of the latest attempt. */
	struct peer *peer;
	uint64_t seq;
	unsigned int attempts;
	unsigned int cancels;
};

/* For g_test_add() */
#define ADD(name, data, function) \
	g_test_add(name, struct fixture, data, cf_set_up, function, cf_tear_down)

void cf_set_up(struct fixture *f, gconstpointer unused);
void cf_tear_down(struct fixture *f, gconstpointer unused);

/* Frames of the owner, for its latest attempt.
 * length: of the whole body; -1: not stated
 * name: of the head's only field; NULL: no field */
void cf_send_head_as(const struct fixture *f, uint32_t status, int64_t length,
		     const char *name, const char *value);
void cf_send_head(const struct fixture *f, int64_t length);
void cf_send_last_part(const struct fixture *f, size_t size, bool ends,
		       bool aborted);
void cf_send_part(const struct fixture *f, size_t size, bool ends);

/* Lets all that is due happen. */
void cf_run_due(struct fixture *f);

/* Advances the paused clock in steps of STEP_MS. */
void cf_run_for(struct fixture *f, int ms);

/* What the caller sends. */
void cf_send_text(struct fixture *f, const char *text);
void cf_send_requests(struct fixture *f, const char *target, int count);

/* status: the beginning of a status; "" counts all answers */
unsigned int cf_count_answers(const struct fixture *f, const char *status);

#endif
