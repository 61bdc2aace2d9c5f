/*
 * NAME
 *	config_rows - the configuration's rows in the platform's table
 *
 * DESCRIPTION
 *	The head row counts all applies and lists the versions in force, so a
 *	daemon sees in one read what it lacks. The row grows with the number of
 *	namespaces. The recent row is written together with it and lists only
 *	the last few changes, so the cost of reading it each second does not
 *	depend on the number of teams. The namespace row names who applied the
 *	version in force and keeps the last few commits before it: an apply
 *	whose answer was lost finds its commit there even after another apply on
 *	top of it.
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
	uint64_t above; /* versions lists only changes above this head */
	GArray *versions; /* of struct config_version, names owned */
};

void config_head_init(struct config_head *head);
void config_head_finish(struct config_head *head);

/* text NULL: the row is absent, because nothing was ever applied.
 * RETURN VALUE: false if the text is not a head row. */
bool config_head_parse(struct config_head *head, const char *text);
char *config_head_to_text(const struct config_head *head);

/* RETURN VALUE: the text of the recent row that belongs to a head row. */
char *config_head_to_recent_text(const struct config_head *head);

/* Records the version that one apply puts in force, and increments the head,
 * which counts the applies. */
void config_head_record_commit(struct config_head *head, const char *name,
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

/* The version of the newest commit, which is the one in force; 0 if none. */
uint64_t config_history_newest_version(const struct config_history *history);

/* RETURN VALUE: the commit of a version, or NULL if it is not kept. */
const struct config_commit *
config_history_find(const struct config_history *history, uint64_t version);

#endif
