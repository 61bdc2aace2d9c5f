/*
 * NAME
 *	evacuation_rows - the evacuated failure domains in the platform's store
 *
 * DESCRIPTION
 *	Each evacuated domain has a row whose key is a prefix and its name. On a
 *	platform with an operator of its own, that operator writes the rows, and
 *	config_follow reads them together with the configuration. Otherwise
 *	operators write them through the admin API of any daemon, which reads
 *	the rows again after each change.
 *
 *	A change reaches the other daemons by gossip. If the daemon that made it
 *	ends before it has told a peer, the others find the change by themselves:
 *	each reads the rows at the start and then at random times, so rarely
 *	that all daemons together read them about once per
 *	EVACUATION_ROWS_SPACING_US.
 */
#ifndef COMFREYDOCKD_PLATFORM_EVACUATION_ROWS_H
#define COMFREYDOCKD_PLATFORM_EVACUATION_ROWS_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/platform/platform.h"

/* The rows of an installation without an operator's row. */
#define EVACUATION_ROWS_PREFIX "evacuations/"
#define EVACUATION_ROWS_SPACING_US ((int64_t)1000 * 1000)
#define EVACUATION_ROWS_INTERVAL_MIN_US ((int64_t)5 * 1000 * 1000)

struct evacuation;
struct evacuation_rows;
struct member_table;

struct evacuation_rows_options {
	struct ev_loop *loop;
	struct platform *platform;
	struct evacuation *evacuation;
	struct member_table *members;
	const char *prefix; /* "TABLE/REST" */
	bool is_polled; /* no one else reads the rows */
	uint64_t seed;
};

struct evacuation_row {
	const char *domain;
	const char *by; /* who asked for it; "": unknown */
	int64_t asked_ms; /* Unix time; 0: unknown */
};

/* is_answered: false if the store did not answer. */
typedef void (*evacuation_list_handler)(bool is_answered,
					const struct evacuation_row *rows,
					size_t count, void *data);
typedef void (*evacuation_change_handler)(enum platform_status status,
					  void *data);

/* Copies the options; what they point to must outlive the rows. */
struct evacuation_rows *
evacuation_rows_create(const struct evacuation_rows_options *options);

/* The platform must be destroyed first, so that no callback is made. */
void evacuation_rows_destroy(struct evacuation_rows *rows);

/* Reads the rows. The handler is called once. */
void evacuation_rows_list(struct evacuation_rows *rows,
			  evacuation_list_handler handler, void *data);

/* Evacuates a domain in the name of an operator, or restores it if by is NULL.
 * PLATFORM_REJECTED: the rows belong to the platform's operator. */
void evacuation_rows_change(struct evacuation_rows *rows, const char *domain,
			    const char *by, evacuation_change_handler handler,
			    void *data);

#endif
