#include "comfreydockd/config/organisation_set.h"

#include <string.h>

/* Maps the struct json_span of a set's text to the set. NULL: none is known. */
static GHashTable *known;

/* Takes the same time wherever two digests differ, so that the time of a lookup
 * shows nothing about the digests that are held. */
static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	const char *left = a;
	const char *right = b;
	unsigned int difference = 0;

	for (size_t i = 0; i < KEY_DIGEST_SIZE - 1; i++)
		difference |= (unsigned char)(left[i] ^ right[i]);
	return difference == 0;
}

static void organisation_free(gpointer data)
{
	struct config_organisation *organisation = data;

	g_ptr_array_free(organisation->digests, TRUE);
	g_free(organisation->name);
	g_free(organisation);
}

struct config_organisation_set *config_organisation_set_create(void)
{
	struct config_organisation_set *set =
		g_new0(struct config_organisation_set, 1);

	set->references = 1;
	set->all = g_ptr_array_new_with_free_func(organisation_free);
	set->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	set->by_digest = g_hash_table_new(g_str_hash, digest_equal);
	return set;
}

struct config_organisation_set *
config_organisation_set_ref(struct config_organisation_set *set)
{
	set->references++;
	return set;
}

static void forget(struct config_organisation_set *set)
{
	if (!set->text.at)
		return;
	g_hash_table_remove(known, &set->text);
	if (g_hash_table_size(known) == 0)
		g_clear_pointer(&known, g_hash_table_unref);
	g_free((char *)set->text.at);
}

void config_organisation_set_unref(struct config_organisation_set *set)
{
	if (!set || --set->references)
		return;
	forget(set);
	g_hash_table_unref(set->by_digest);
	g_hash_table_unref(set->by_name);
	g_ptr_array_free(set->all, TRUE);
	g_free(set);
}

struct config_organisation *
config_organisation_set_add(struct config_organisation_set *set, const char *name)
{
	struct config_organisation *organisation =
		g_new0(struct config_organisation, 1);

	organisation->name = g_strdup(name);
	organisation->digests = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(set->all, organisation);
	if (!g_hash_table_contains(set->by_name, name))
		g_hash_table_insert(set->by_name, organisation->name,
				    organisation);
	return organisation;
}

void config_organisation_set_add_digest(struct config_organisation_set *set,
					struct config_organisation *organisation,
					const char hex[KEY_DIGEST_SIZE])
{
	char *copy = g_strdup(hex);

	g_ptr_array_add(organisation->digests, copy);
	g_hash_table_insert(set->by_digest, copy, organisation);
}

struct config_organisation_set *
config_organisation_set_find_known(const struct json_span *text)
{
	struct config_organisation_set *set =
		known ? g_hash_table_lookup(known, text) : NULL;

	return set ? config_organisation_set_ref(set) : NULL;
}

void config_organisation_set_add_known(struct config_organisation_set *set,
				       const struct json_span *text)
{
	if (!known)
		known = g_hash_table_new(json_span_hash, json_span_equal);
	if (g_hash_table_contains(known, text))
		return;
	set->text.at = g_strndup(text->at, text->size);
	set->text.size = text->size;
	g_hash_table_insert(known, &set->text, set);
}

const struct config_organisation *
config_snapshot_organisation(const struct config_snapshot *snapshot,
			     const char *name)
{
	const struct config_organisation *found = NULL;

	for (guint i = 0; i < snapshot->organisations->len && !found; i++) {
		const struct config_organisation_set *set =
			snapshot->organisations->pdata[i];

		found = g_hash_table_lookup(set->by_name, name);
	}
	return found;
}

const struct config_organisation *
config_snapshot_organisation_by_digest(const struct config_snapshot *snapshot,
				       const char hex[65])
{
	const struct config_organisation *found = NULL;

	for (guint i = 0; i < snapshot->organisations->len && !found; i++) {
		const struct config_organisation_set *set =
			snapshot->organisations->pdata[i];

		found = g_hash_table_lookup(set->by_digest, hex);
	}
	return found;
}
