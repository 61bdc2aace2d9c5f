/*
 * NAME
 *	config_rows - the configuration's rows in the platform's table
 *
 * DESCRIPTION
 *	The head row counts all applies and lists what is in force, so that
 *	reading one row tells a daemon whether it lacks anything, and what. It
 *	grows with the number of namespaces; the recent row is written with it
 *	and lists only the last few changes, so that reading it each second
 *	costs the same however many teams there are. The
 *	namespace row tells who applied the version in force, and keeps the
 *	last few before it: an apply whose answer was lost finds itself there
 *	even after somebody else applied on top of it.
 *
 *	Bodies are in the object store under "config/SHA256".
 */
#ifndef COMFREYDOCKD_CONFIG_ROWS_H
#define COMFREYDOCKD_CONFIG_ROWS_H

#include "comfreydockd/config/store.h"
#include "common/id.h"

#define CONFIG_HEAD_KEY "config/head"
#define CONFIG_RECENT_KEY "config/recent"
#define CONFIG_RECENT_MAX 8

/* The caller frees the result. */
char *config_namespace_key(const char *name);
char *config_object_key(const char *sha256);

struct config_head {
	uint64_t head;
	uint64_t above; /* versions lists what has changed above this head */
	GArray *versions; /* of struct config_version, names owned */
};

void config_head_init(struct config_head *head);
void config_head_finish(struct config_head *head);

/* text NULL: the row is absent, nothing was ever applied.
 * RETURN VALUE: false if the text is no head row. */
bool config_head_parse(struct config_head *head, const char *text);
char *config_head_to_text(const struct config_head *head);

/* The recent row that goes with a head row. */
char *config_head_to_recent_text(const struct config_head *head);

/* Counts one apply and lists its version. */
void config_head_note(struct config_head *head, const char *name,
		      uint64_t version, const char *sha256);

struct config_commit {
	uint64_t version;
	char sha256[65];
	char apply_id[ID_TEXT_SIZE];
	char *who;
};

/* Commits of one namespace, the one in force first. */
struct config_history {
	GArray *commits; /* of struct config_commit */
};

void config_history_init(struct config_history *history);
void config_history_finish(struct config_history *history);
bool config_history_parse(struct config_history *history, const char *text);
char *config_history_to_text(const struct config_history *history);
void config_history_push(struct config_history *history,
			 const struct config_commit *commit);

/* The version in force, 0 if none. */
uint64_t config_history_version(const struct config_history *history);

/* RETURN VALUE: the commit of a version, or NULL if it is not kept. */
const struct config_commit *
config_history_find(const struct config_history *history, uint64_t version);

#endif
