/*
 * NAME
 *	config_check - from an operator's file to a namespace
 *
 * DESCRIPTION
 *	Checks the whole file and reports all findings with their lines. What
 *	passes here is what may be put in force: the same function runs in the
 *	tool, in the daemon that applies and in each that adopts.
 *
 *	What a file leaves out is the careful choice: a rule is not idempotent,
 *	is not retried and is not hedged unless it says so.
 */
#ifndef COMFREYDOCKD_CONFIG_CHECK_H
#define COMFREYDOCKD_CONFIG_CHECK_H

#include "comfreydockd/config/model.h"
#include "common/findings.h"

/* RETURN VALUE: a namespace of version 0, or NULL where findings has errors. */
struct config_namespace *config_namespace_load(const char *file, const char *text,
					       struct findings *findings);

/*
 * The same for a body that was accepted before, here or by another daemon:
 * refused if it doesn't hold, without saying where. Keeping the place of every
 * member took a third of the time in which nothing else is served.
 *
 * sha256: of the text, checked before.
 */
struct config_namespace *config_namespace_load_accepted(const char *text,
							const char *sha256);

/*
 * Adds an error for each host and path prefix that another namespace of the
 * snapshot claims already: its requests would go to the wrong team.
 */
void config_check_against(const struct config_snapshot *snapshot,
			  const struct config_namespace *ns, const char *file,
			  struct findings *findings);

#endif
