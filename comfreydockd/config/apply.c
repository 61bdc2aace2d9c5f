#include "comfreydockd/config/apply.h"

#include <string.h>

#include "comfreydockd/config/check.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

#define DEFAULT_TIMEOUT_MS 10000
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 1000

/*
 * Steps: read the namespace row, put the body, read the head row, transact.
 * After a conflict or a failed platform call the apply starts again at the
 * namespace row, which shows whether the version is already in force. A file
 * that fails the check and a row that can't be parsed end the apply.
 */
struct config_apply {
	const struct config_platform_ops *ops;
	void *platform;
	config_apply_handler handler;
	void *data;
	struct config_namespace *ns; /* NULL: the file failed the check */
	struct findings findings;
	char *file;
	uint64_t base;
	uint64_t held; /* version in force in this daemon; 0: none */
	uint64_t known_head; /* the highest that this daemon has heard of */
	struct config_commit commit;
	int64_t deadline_us;
	uint32_t pause_ms;
	bool body_is_put;
	/* The answer to a transaction was lost. The transaction may still take
	 * effect. */
	bool unresolved;
	/* The file was in force as base + 1 and was then replaced. */
	bool was_in_force;
	/* The head that the last transaction writes, which counts the applies
	 * of all namespaces; 0: unknown. */
	uint64_t written_head;
	struct config_history history;
	uint64_t row_version;
};

static void read_row(struct config_apply *apply);

const char *config_apply_result_name(enum config_apply_result result)
{
	static const char *const names[] = {
		[CONFIG_APPLY_IN_FORCE] = "in-force",
		[CONFIG_APPLY_REFUSED] = "refused",
		[CONFIG_APPLY_CONFLICT] = "conflict",
		[CONFIG_APPLY_UNKNOWN] = "unknown",
	};

	return names[result];
}

static void config_apply_free(struct config_apply *apply)
{
	config_history_finish(&apply->history);
	findings_finish(&apply->findings);
	config_namespace_unref(apply->ns);
	g_free(apply->commit.who);
	g_free(apply->file);
	g_free(apply);
}

static void finish(struct config_apply *apply, enum config_apply_result result,
		   uint64_t version, const char *winner)
{
	struct config_apply_outcome outcome = {
		.result = result,
		.name = apply->ns ? apply->ns->name : NULL,
		.sha256 = apply->ns ? apply->ns->sha256 : NULL,
		.body = apply->ns ? apply->ns->body : NULL,
		.version = version,
		.base = apply->base,
		.head = result == CONFIG_APPLY_IN_FORCE ? apply->written_head : 0,
		.winner = winner,
		.was_in_force = apply->was_in_force,
		.findings = &apply->findings,
	};

	log_event(EV_CONFIG_APPLIED,
		  LOG_STR("result", config_apply_result_name(result)),
		  LOG_STR("namespace", outcome.name),
		  LOG_INT("version", version), LOG_STR("who", apply->commit.who),
		  LOG_STR("apply_id", apply->commit.apply_id));
	apply->handler(&outcome, apply->data);
	config_apply_free(apply);
}

/* Ends the apply as unknown if a transaction is unresolved; reason is then
 * ignored. Otherwise no row was written, although the object store may have the
 * body, and the finding tells the operator that nothing was changed and why. */
static void give_up(struct config_apply *apply, const char *reason)
{
	if (apply->unresolved) {
		finish(apply, CONFIG_APPLY_UNKNOWN, 0, NULL);
		return;
	}
	findings_add(&apply->findings, FINDING_ERROR, apply->file, 0, NULL,
		     "%s; nothing was changed", reason);
	finish(apply, CONFIG_APPLY_REFUSED, 0, NULL);
}

static void handle_waited(void *data)
{
	read_row(data);
}

static void try_again(struct config_apply *apply, const char *reason)
{
	uint32_t pause_ms = apply->pause_ms;

	if (clock_mono_us() + pause_ms * US_PER_MS >= apply->deadline_us) {
		give_up(apply, reason);
		return;
	}
	apply->pause_ms = MIN(apply->pause_ms * 2, RETRY_MAX_MS);
	/* Jitter keeps operators that conflicted from retrying in lockstep. */
	pause_ms =
		pause_ms / 2 + (uint32_t)(id_random_u64() % (pause_ms / 2 + 1));
	apply->ops->wait(apply->platform, pause_ms, handle_waited, apply);
}

static void handle_transacted(enum config_platform_status status, void *data)
{
	struct config_apply *apply = data;

	switch (status) {
	case CONFIG_PLATFORM_OK:
		finish(apply, CONFIG_APPLY_IN_FORCE, apply->commit.version, NULL);
		return;
	case CONFIG_PLATFORM_CONFLICT:
		try_again(apply, "applies of other operators kept conflicting");
		return;
	case CONFIG_PLATFORM_UNKNOWN:
		apply->unresolved = true;
		/* give_up() ignores the reason from now on. */
		try_again(apply, "");
		return;
	case CONFIG_PLATFORM_UNAVAILABLE:
		try_again(apply, "the platform can't be reached");
		return;
	}
}

static void transact(struct config_apply *apply, struct config_head *head,
		     uint64_t head_row_version)
{
	char *key = config_namespace_key(apply->ns->name);
	char *recent_text;
	char *head_text;
	char *row_text;

	/* If the platform's store was restored from an older copy, the head in
	 * the row is lower than the daemons' heads, and they ignore a head that
	 * is not above their own. */
	head->head = MAX(head->head, apply->known_head);
	config_head_record_commit(head, apply->ns->name, apply->commit.version,
				  apply->ns->sha256);
	apply->written_head = head->head;
	config_history_push(&apply->history, &apply->commit);
	recent_text = config_head_to_recent_text(head);
	head_text = config_head_to_text(head);
	row_text = config_history_to_text(&apply->history);
	apply->ops->transact(
		apply->platform,
		(const struct config_write[]){
			{key, apply->row_version, row_text},
			{CONFIG_HEAD_KEY, head_row_version, head_text},
			/* This row repeats the last changes of the head row.
			 * The condition on the head row protects it too. */
			{CONFIG_RECENT_KEY, CONFIG_ANY_VERSION, recent_text},
		},
		3, handle_transacted, apply);
	g_free(row_text);
	g_free(head_text);
	g_free(recent_text);
	g_free(key);
}

static void handle_head(enum config_platform_status status, uint64_t row_version,
			const char *value, size_t size, void *data)
{
	struct config_apply *apply = data;
	struct config_head head;

	(void)size;
	if (status != CONFIG_PLATFORM_OK) {
		try_again(apply, "the platform can't be reached");
		return;
	}
	config_head_init(&head);
	if (config_head_parse(&head, value))
		transact(apply, &head, row_version);
	else
		give_up(apply, "the platform's head row can't be read");
	config_head_finish(&head);
}

static void read_head(struct config_apply *apply)
{
	apply->ops->get(apply->platform, CONFIG_HEAD_KEY, handle_head, apply);
}

static void handle_put(enum config_platform_status status, void *data)
{
	struct config_apply *apply = data;

	/* The key is the hash of the content, so a repeated put is harmless. */
	if (status != CONFIG_PLATFORM_OK) {
		try_again(apply,
			  "the platform's object store can't be reached");
		return;
	}
	apply->body_is_put = true;
	read_head(apply);
}

static void put_body(struct config_apply *apply)
{
	char *key = config_object_key(apply->ns->sha256);

	apply->ops->put_object(apply->platform, key, apply->ns->body,
			       strlen(apply->ns->body), handle_put, apply);
	g_free(key);
}

static bool is_our_commit(const struct config_apply *apply,
			  const struct config_commit *commit)
{
	return strcmp(commit->apply_id, apply->commit.apply_id) == 0 ||
	       strcmp(commit->sha256, apply->commit.sha256) == 0;
}

/* Daemons never adopt a lower version, but the platform's store may be restored
 * from an older copy. So the version held here counts as well. */
static uint64_t version_in_force(const struct config_apply *apply)
{
	return MAX(config_history_newest_version(&apply->history), apply->held);
}

/*
 * Handles a namespace whose version in force is not the base. If the commit at
 * base + 1 has the id of this apply, an earlier transaction took effect and its
 * answer was lost. A commit with the same body counts as this apply's too,
 * since an earlier apply of that body may have ended as unknown. If the history
 * no longer holds base + 1, a lost answer stays unknown.
 */
static void resolve_base_mismatch(struct config_apply *apply)
{
	const struct config_commit *commit =
		config_history_find(&apply->history, apply->commit.version);
	uint64_t version = version_in_force(apply);
	const struct config_commit *winner;
	bool is_ours = commit && is_our_commit(apply, commit);

	if (!commit && apply->unresolved) {
		finish(apply, CONFIG_APPLY_UNKNOWN, version, NULL);
		return;
	}
	if (is_ours && version == commit->version) {
		apply->written_head = 0;
		finish(apply, CONFIG_APPLY_IN_FORCE, version, NULL);
		return;
	}
	apply->was_in_force = is_ours;
	winner = config_history_find(&apply->history, version);
	finish(apply, CONFIG_APPLY_CONFLICT, version,
	       winner ? winner->who : NULL);
}

static void handle_row(enum config_platform_status status, uint64_t row_version,
		       const char *value, size_t size, void *data)
{
	struct config_apply *apply = data;

	(void)size;
	if (status != CONFIG_PLATFORM_OK) {
		try_again(apply, "the platform can't be reached");
		return;
	}
	config_history_finish(&apply->history);
	config_history_init(&apply->history);
	if (!config_history_parse(&apply->history, value)) {
		give_up(apply, "the platform's namespace row can't be read");
		return;
	}
	apply->row_version = row_version;
	if (version_in_force(apply) != apply->base)
		resolve_base_mismatch(apply);
	else if (apply->body_is_put)
		read_head(apply);
	else
		put_body(apply);
}

static void read_row(struct config_apply *apply)
{
	char *key = config_namespace_key(apply->ns->name);

	apply->ops->get(apply->platform, key, handle_row, apply);
	g_free(key);
}

static uint64_t held_version(const struct config_snapshot *current,
			     const char *name)
{
	const struct config_namespace *ns =
		current ? config_snapshot_find(current, name) : NULL;

	return ns ? ns->version : 0;
}

void config_apply_start(const struct config_platform_ops *ops, void *platform,
			const struct config_apply_request *request,
			config_apply_handler handler, void *data)
{
	struct config_apply *apply = g_new0(struct config_apply, 1);
	uint32_t timeout_ms =
		request->timeout_ms ? request->timeout_ms : DEFAULT_TIMEOUT_MS;

	counters.config_applies++;
	apply->ops = ops;
	apply->platform = platform;
	apply->handler = handler;
	apply->data = data;
	apply->base = request->base;
	apply->known_head = request->known_head;
	apply->file = g_strdup(request->file);
	apply->pause_ms = RETRY_MIN_MS;
	apply->deadline_us = clock_mono_us() + timeout_ms * US_PER_MS;
	apply->commit.version = request->base + 1;
	apply->commit.who = g_strdup(request->who);
	id_random(apply->commit.apply_id);
	findings_init(&apply->findings);
	config_history_init(&apply->history);
	apply->ns = config_namespace_load(request->file, request->body,
					  &apply->findings);
	if (apply->ns && request->current)
		config_check_against(request->current, apply->ns, request->file,
				     &apply->findings);
	if (!apply->ns || findings_has_errors(&apply->findings)) {
		finish(apply, CONFIG_APPLY_REFUSED, 0, NULL);
		return;
	}
	memcpy(apply->commit.sha256, apply->ns->sha256,
	       sizeof(apply->commit.sha256));
	apply->held = held_version(request->current, apply->ns->name);
	read_row(apply);
}
