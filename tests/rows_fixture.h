/*
 * NAME
 *	rows_fixture - the rows module of one daemon with an in-memory store
 *
 * DESCRIPTION
 *	The daemon's host is surco-1. Time advances only in rows_run().
 */
#ifndef TESTS_ROWS_FIXTURE_H
#define TESTS_ROWS_FIXTURE_H

#include <glib.h>

#include "comfreydockd/member/rows.h"

#define HOUR 3600 /* seconds */
#define HELD_ANSWERS_MAX 4

enum store_mode {
	STORE_UP,
	STORE_DOWN,
	STORE_LOSES_ANSWERS, /* writes take effect, but report ROWS_UNKNOWN */
	STORE_HOLDS_READS, /* stores the handlers of reads instead of answering */
};

/* The platform's table, with counts of the calls to it. */
struct rows_fixture_store {
	GTree *rows; /* key to value and version */
	enum store_mode mode;
	uint64_t next_version;
	unsigned int reads;
	unsigned int writes;
	unsigned int deletes;
	size_t held_answer_count;
	struct {
		rows_range_handler handler;
		void *data;
	} held_answers[HELD_ANSWERS_MAX];
};

struct rows_fixture {
	struct rows_fixture_store store;
	struct member_table *table;
	struct rows *rows;
	struct quarantine *quarantine;
	GString *joined;
};

extern struct rows_fixture fixture;

void rows_begin(enum store_mode mode);
void rows_finish(void);

/* Simulate a power loss of the host, and its restart. */
void rows_stop(void);
void rows_start(void);

void rows_run(int seconds);

/* rows_add_member() adds a host to the member table, rows_put_row() a row to
 * the store. */
void rows_add_member(const char *host, uint64_t incarnation,
		     enum member_state state);
void rows_put_row(const char *host, uint64_t incarnation);

/* The same with any value. */
void rows_put_text(const char *host, const char *value);

/* Like rows_put_row(), with the records of the host's quarantine. */
void rows_put_row_with(const char *host, uint64_t incarnation,
		       const struct quarantine *quarantine);

/* RETURN VALUE: the value of a row; NULL if there is no such row. */
const char *rows_stored(const char *key);

#endif
