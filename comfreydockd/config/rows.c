#include "comfreydockd/config/rows.h"

#include <string.h>

#include "common/jsonc.h"

#define COMMITS_KEPT 16

char *config_namespace_key(const char *name)
{
	return g_strconcat("config/namespace/", name, NULL);
}

char *config_object_key(const char *sha256)
{
	return g_strconcat("config/", sha256, NULL);
}

static void free_commit(gpointer data)
{
	struct config_commit *commit = data;

	g_free(commit->who);
}

void config_head_init(struct config_head *head)
{
	head->head = 0;
	head->above = 0;
	head->versions = config_versions_create();
}

void config_head_finish(struct config_head *head)
{
	g_array_unref(head->versions);
}

bool config_head_parse(struct config_head *head, const char *text)
{
	json_object *root = text ? json_tokener_parse(text) : NULL;
	json_object *array = jsonc_get_array(root, "namespaces");

	if (text && !array) {
		json_object_put(root);
		return false;
	}
	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);
		struct config_version version = {
			.name = g_strdup(jsonc_get_text(item, "name")),
			.version = jsonc_get_uint(item, "version"),
			.at = jsonc_get_uint(item, "at"),
		};

		g_strlcpy(version.sha256, jsonc_get_text(item, "sha256"),
			  sizeof(version.sha256));
		g_array_append_val(head->versions, version);
	}
	if (root) {
		head->head = jsonc_get_uint(root, "head");
		head->above = jsonc_get_uint(root, "above");
	}
	json_object_put(root);
	return true;
}

static char *changes_to_text(const struct config_head *head, uint64_t above)
{
	json_object *root = json_object_new_object();
	json_object *array = json_object_new_array();

	for (guint i = 0; i < head->versions->len; i++) {
		struct config_version *version =
			&g_array_index(head->versions, struct config_version, i);
		json_object *item;

		/* at is 0 if a release that did not record it wrote the row. */
		if (above && version->at && version->at <= above)
			continue;
		item = json_object_new_object();
		jsonc_add_text(item, "name", version->name);
		jsonc_add_uint(item, "version", version->version);
		jsonc_add_text(item, "sha256", version->sha256);
		jsonc_add_uint(item, "at", version->at);
		json_object_array_add(array, item);
	}
	jsonc_add_uint(root, "head", head->head);
	jsonc_add_uint(root, "above", above);
	json_object_object_add(root, "namespaces", array);
	return jsonc_to_text(root);
}

char *config_head_to_text(const struct config_head *head)
{
	return changes_to_text(head, 0);
}

char *config_head_to_recent_text(const struct config_head *head)
{
	uint64_t most = CONFIG_RECENT_MAX;

	return changes_to_text(head, head->head > most ? head->head - most : 0);
}

static struct config_version *find_or_add_version(struct config_head *head,
						  const char *name)
{
	struct config_version fresh = {.name = NULL};

	for (guint i = 0; i < head->versions->len; i++) {
		struct config_version *version =
			&g_array_index(head->versions, struct config_version, i);

		if (strcmp(version->name, name) == 0)
			return version;
	}
	fresh.name = g_strdup(name);
	g_array_append_val(head->versions, fresh);
	return &g_array_index(head->versions, struct config_version,
			      head->versions->len - 1);
}

void config_head_record_commit(struct config_head *head, const char *name,
			       uint64_t version, const char *sha256)
{
	struct config_version *line = find_or_add_version(head, name);

	line->version = version;
	g_strlcpy(line->sha256, sha256, sizeof(line->sha256));
	line->at = ++head->head;
}

void config_history_init(struct config_history *history)
{
	history->commits =
		g_array_new(FALSE, FALSE, sizeof(struct config_commit));
	g_array_set_clear_func(history->commits, free_commit);
}

void config_history_finish(struct config_history *history)
{
	g_array_unref(history->commits);
}

bool config_history_parse(struct config_history *history, const char *text)
{
	json_object *root = text ? json_tokener_parse(text) : NULL;
	json_object *array = jsonc_get_array(root, "commits");

	if (text && !array) {
		json_object_put(root);
		return false;
	}
	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);
		struct config_commit commit = {
			.version = jsonc_get_uint(item, "version"),
			.who = g_strdup(jsonc_get_text(item, "who")),
		};

		g_strlcpy(commit.sha256, jsonc_get_text(item, "sha256"),
			  sizeof(commit.sha256));
		g_strlcpy(commit.apply_id, jsonc_get_text(item, "apply_id"),
			  sizeof(commit.apply_id));
		g_array_append_val(history->commits, commit);
	}
	json_object_put(root);
	return true;
}

char *config_history_to_text(const struct config_history *history)
{
	json_object *root = json_object_new_object();
	json_object *array = json_object_new_array();

	for (guint i = 0; i < history->commits->len; i++) {
		struct config_commit *commit =
			&g_array_index(history->commits, struct config_commit, i);
		json_object *item = json_object_new_object();

		jsonc_add_uint(item, "version", commit->version);
		jsonc_add_text(item, "sha256", commit->sha256);
		jsonc_add_text(item, "apply_id", commit->apply_id);
		jsonc_add_text(item, "who", commit->who);
		json_object_array_add(array, item);
	}
	json_object_object_add(root, "commits", array);
	return jsonc_to_text(root);
}

void config_history_push(struct config_history *history,
			 const struct config_commit *commit)
{
	struct config_commit copy = *commit;

	copy.who = g_strdup(commit->who);
	g_array_prepend_val(history->commits, copy);
	if (history->commits->len > COMMITS_KEPT)
		g_array_set_size(history->commits, COMMITS_KEPT);
}

uint64_t config_history_newest_version(const struct config_history *history)
{
	if (!history->commits->len)
		return 0;
	return g_array_index(history->commits, struct config_commit, 0).version;
}

const struct config_commit *
config_history_find(const struct config_history *history, uint64_t version)
{
	for (guint i = 0; i < history->commits->len; i++) {
		const struct config_commit *commit =
			&g_array_index(history->commits, struct config_commit, i);

		if (commit->version == version)
			return commit;
	}
	return NULL;
}
