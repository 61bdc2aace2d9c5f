/*
 * NAME
 *	config_check - checks an operator's file and parses it to a namespace
 *
 * DESCRIPTION
 *	Checks the whole file and reports all findings with their lines. Only a
 *	file that passes may be applied: the same function runs in the command
 *	line tool and in the daemon that applies a file.
 *
 *	A version that was accepted, by the platform or by another daemon, is in
 *	force and has to be followed. Daemons that adopt it restrict names and
 *	numbers no further than they must, and what is invalid costs its own
 *	entry alone.
 *
 *	The defaults are the safe ones: a rule is not idempotent, not retried
 *	and not hedged unless the file says so.
 */
#ifndef COMFREYDOCKD_CONFIG_CHECK_H
#define COMFREYDOCKD_CONFIG_CHECK_H

#include "comfreydockd/config/model.h"
#include "common/findings.h"

/* RETURN VALUE: a namespace of version 0, or NULL if findings has errors. */
struct config_namespace *config_namespace_load(const char *file, const char *text,
					       struct findings *findings);

/*
 * Parses a body that the platform or a daemon has accepted before. It does not
 * report lines: recording the position of every member took a third of the time
 * in which the daemon serves nothing else.
 *
 * sha256: the hash of the text, already verified.
 * findings: get a warning for each entry that is left out or followed in part.
 *
 * RETURN VALUE
 *	the namespace, or NULL if the body isn't one; findings then has errors.
 */
struct config_namespace *
config_namespace_load_accepted(const char *text, const char *sha256,
			       struct findings *findings);

/*
 * Adds an error for each host and path prefix that another namespace of the
 * snapshot already has, because its requests would go to the wrong team, and
 * for each organisation and key, because one key would have two holders.
 */
void config_check_against(const struct config_snapshot *snapshot,
			  const struct config_namespace *ns, const char *file,
			  struct findings *findings);

#endif
