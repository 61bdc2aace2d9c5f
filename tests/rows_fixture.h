/*
 * NAME
 *	rows_fixture - the rows of one daemon, and a store in memory
 *
 * DESCRIPTION
 *	The host is surco-1. Time stands still but for rows_run().
 */
#ifndef TESTS_ROWS_FIXTURE_H
#define TESTS_ROWS_FIXTURE_H

#include <glib.h>

#include "comfreydockd/member/rows.h"

#define HOUR 3600
#define HELD_ANSWERS_MAX 4

enum store_mode {
	STORE_UP,
	STORE_DOWN,
	STORE_LOSES_ANSWERS, /* of writes, which take effect */
	STORE_HOLDS_READS, /* keeps a read's answer back */
};

/* The platform's table, and what was asked of it. */
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

/* As where the host loses its power, and comes back. */
void rows_stop(void);
void rows_start(void);

void rows_run(int seconds);

/* A host that membership knows, and one that has a row. */
void rows_add_member(const char *host, uint64_t incarnation,
		     enum member_state state);
void rows_put_row(const char *host, uint64_t incarnation);

/* The same, with what that host's quarantine holds. */
void rows_put_row_with(const char *host, uint64_t incarnation,
		       const struct quarantine *quarantine);

/* RETURN VALUE: NULL where there is no such row. */
const char *rows_stored(const char *key);

#endif
