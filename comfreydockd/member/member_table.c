#include <string.h>
#include <xxhash.h>

#include "comfreydockd/decide/rendezvous.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"

struct group {
	GPtrArray *members;
	uint64_t version;
};

struct member_table {
	struct member_list all;
	GHashTable *by_host; /* member->host to member */
	GHashTable *by_group; /* interned group to struct group */
	uint64_t version; /* highest version given to any group */
	GPtrArray *empty;
	const struct evacuation *evacuation; /* NULL: none */
	GArray *observers;
	struct member_bucket buckets[MEMBER_BUCKETS];
	uint64_t digests[MEMBER_BUCKETS];
};

static void group_free(gpointer data)
{
	struct group *group = data;

	g_ptr_array_unref(group->members);
	g_free(group);
}

uint32_t member_host_hash(const char *host)
{
	return XXH32(host, strlen(host), 0);
}

struct member_table *member_table_create(void)
{
	struct member_table *table = g_new0(struct member_table, 1);

	TAILQ_INIT(&table->all);
	table->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	table->by_group =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	table->empty = g_ptr_array_new();
	table->observers =
		g_array_new(FALSE, FALSE, sizeof(struct member_observer));
	return table;
}

void member_table_destroy(struct member_table *table)
{
	struct member *member;

	if (!table)
		return;
	while ((member = TAILQ_FIRST(&table->all)))
		member_table_remove(table, member->host);
	g_hash_table_destroy(table->by_host);
	g_hash_table_destroy(table->by_group);
	g_ptr_array_unref(table->empty);
	g_array_unref(table->observers);
	g_free(table);
}

void member_table_observe(struct member_table *table,
			  const struct member_observer *observer)
{
	g_array_append_val(table->observers, *observer);
}

void member_table_unobserve(struct member_table *table, const void *data)
{
	for (guint i = table->observers->len; i > 0; i--) {
		if (g_array_index(table->observers, struct member_observer, i - 1)
			    .data == data)
			g_array_remove_index(table->observers, i - 1);
	}
}

struct member *member_table_find(struct member_table *table, const char *host)
{
	return g_hash_table_lookup(table->by_host, host);
}

struct member_list *member_table_all(struct member_table *table)
{
	return &table->all;
}

size_t member_table_size(const struct member_table *table)
{
	return g_hash_table_size(table->by_host);
}

unsigned int member_table_count_before(struct member_table *table,
				       const char *host, const char *key,
				       const char *domain, unsigned int limit)
{
	uint64_t own = rendezvous_weight(host, key);
	unsigned int before = 0;
	const struct member *member;

	TAILQ_FOREACH (member, &table->all, link) {
		if (before >= limit)
			break;
		if (member->state == MEMBER_ALIVE &&
		    (!domain || strcmp(member->domain, domain) == 0))
			before += rendezvous_weight(member->host, key) > own;
	}
	return before;
}

const GPtrArray *member_table_group(struct member_table *table, const char *group)
{
	const struct group *found = g_hash_table_lookup(table->by_group, group);

	return found ? found->members : table->empty;
}

uint64_t member_table_group_version(struct member_table *table, const char *group)
{
	const struct group *found = g_hash_table_lookup(table->by_group, group);

	return found ? found->version : 0;
}

struct member_bucket *member_table_bucket(struct member_table *table,
					  unsigned int bucket)
{
	return &table->buckets[bucket];
}

uint64_t member_table_digest(const struct member_table *table, unsigned int bucket)
{
	return table->digests[bucket];
}

static unsigned int member_bucket_of(const struct member *member)
{
	return XXH3_64bits(member->host, strlen(member->host)) % MEMBER_BUCKETS;
}

/* Adds a live member to its bucket's digest or, on the second call, removes
 * it. Dead members and those that left don't count. */
static void member_table_toggle_digest(struct member_table *table,
				       const struct member *member)
{
	if (member->state == MEMBER_DEAD || member->state == MEMBER_LEFT)
		return;
	table->digests[member_bucket_of(member)] ^= XXH3_64bits_withSeed(
		member->host, strlen(member->host), member->incarnation);
}

static void member_table_index_groups(struct member_table *table,
				      struct member *member)
{
	for (char **name = member->groups; name && *name; name++) {
		struct group *group = g_hash_table_lookup(table->by_group, *name);

		if (!group) {
			group = g_new0(struct group, 1);
			group->members = g_ptr_array_new();
			g_hash_table_insert(table->by_group, *name, group);
		}
		g_ptr_array_add(group->members, member);
	}
}

static void member_table_unindex_groups(struct member_table *table,
					struct member *member)
{
	for (char **name = member->groups; name && *name; name++) {
		struct group *group = g_hash_table_lookup(table->by_group, *name);

		g_ptr_array_remove_fast(group->members, member);
		group->version = ++table->version;
		if (group->members->len == 0)
			g_hash_table_remove(table->by_group, *name);
	}
}

/* Gives each group of the member a new version. Versions come from one counter
 * for all groups and are never reused. A group that was deleted when it became
 * empty and was then created again thus can't be mistaken for the old one. */
static void member_table_bump_group_versions(struct member_table *table,
					     const struct member *member)
{
	for (char **name = member->groups; name && *name; name++) {
		struct group *group = g_hash_table_lookup(table->by_group, *name);

		group->version = ++table->version;
	}
}

static bool groups_contain(char **groups, guint count, const char *group)
{
	for (guint i = 0; i < count; i++) {
		if (groups[i] == group)
			return true;
	}
	return false;
}

/* Copies the list without duplicates. The strings are interned, so only the
 * array must be freed. */
static char **groups_intern(char **groups)
{
	guint count = groups ? g_strv_length(groups) : 0;
	guint kept = 0;
	char **copy;

	if (count == 0)
		return NULL;
	copy = g_new0(char *, count + 1);
	for (guint i = 0; i < count; i++) {
		const char *group = g_intern_string(groups[i]);

		if (!groups_contain(copy, kept, group))
			copy[kept++] = (char *)group;
	}
	return copy;
}

static bool groups_equal(char **a, char **b)
{
	static char *none[] = {NULL};

	return g_strv_equal((const gchar *const *)(a ? a : none),
			    (const gchar *const *)(b ? b : none));
}

static void member_table_set_groups(struct member_table *table,
				    struct member *member, char **groups)
{
	if (groups_equal(member->groups, groups))
		return;
	member_table_unindex_groups(table, member);
	g_free(member->groups);
	member->groups = groups_intern(groups);
	member_table_index_groups(table, member);
}

static void member_apply_record(struct member *member,
				const struct member *record, int64_t now_us)
{
	bool was_up = member->service_state == MEMBER_SERVICE_UP;

	if (member->state != record->state || member->state_since_us == 0)
		member->state_since_us = now_us;
	if (record->service_state == MEMBER_SERVICE_UP && !was_up)
		member->up_since_us =
			record->up_since_us ? record->up_since_us : now_us;
	member->state = record->state;
	member->service_state = record->service_state;
	member->incarnation = record->incarnation;
	g_strlcpy(member->address, record->address, sizeof(member->address));
	member->peer_port = record->peer_port;
	member->admin_port = record->admin_port;
	member->domain = g_intern_string(record->domain ? record->domain : "");
	member->region = g_intern_string(record->region ? record->region : "");
	member->slots = record->slots;
	member->warm_ms = record->warm_ms;
}

static int state_rank(enum member_state state)
{
	if (state == MEMBER_ALIVE)
		return 0;
	return state == MEMBER_SUSPECT ? 1 : 2;
}

static bool member_is_newer(const struct member *known,
			    const struct member *record)
{
	if (record->incarnation != known->incarnation)
		return record->incarnation > known->incarnation;
	return state_rank(record->state) > state_rank(known->state);
}

static struct member *member_table_add(struct member_table *table,
				       const char *host)
{
	struct member *member = g_new0(struct member, 1);

	g_strlcpy(member->host, host, sizeof(member->host));
	/* Dead members don't count in the digest, so the caller can toggle the
	 * digest before and after it applies the first record. */
	member->state = MEMBER_DEAD;
	TAILQ_INSERT_TAIL(&table->all, member, link);
	g_hash_table_insert(table->by_host, member->host, member);
	LIST_INSERT_HEAD(&table->buckets[member_bucket_of(member)], member,
			 bucket_link);
	return member;
}

/* RETURN VALUE: true if is_evacuated has changed. */
static bool member_update_evacuated(const struct member_table *table,
				    struct member *member)
{
	bool was_evacuated = member->is_evacuated;

	member->is_evacuated = table->evacuation &&
			       evacuation_has(table->evacuation,
					      evacuation_key(member->domain));
	return member->is_evacuated != was_evacuated;
}

void member_table_set_evacuation(struct member_table *table,
				 const struct evacuation *evacuation)
{
	struct member *member;

	table->evacuation = evacuation;
	TAILQ_FOREACH (member, &table->all, link) {
		if (member_update_evacuated(table, member))
			member_table_bump_group_versions(table, member);
	}
}

bool member_table_update(struct member_table *table,
			 const struct member *record, int64_t now_us)
{
	struct member *member = member_table_find(table, record->host);

	if (member && !member_is_newer(member, record))
		return false;
	if (!member)
		member = member_table_add(table, record->host);
	member_table_toggle_digest(table, member);
	member_apply_record(member, record, now_us);
	member_table_toggle_digest(table, member);
	member_update_evacuated(table, member);
	member_table_set_groups(table, member, record->groups);
	member_table_bump_group_versions(table, member);
	for (guint i = 0; i < table->observers->len; i++) {
		struct member_observer *observer = &g_array_index(
			table->observers, struct member_observer, i);

		if (observer->handle_changed)
			observer->handle_changed(member, observer->data);
	}
	return true;
}

void member_table_remove(struct member_table *table, const char *host)
{
	struct member *member = member_table_find(table, host);

	if (!member)
		return;
	for (guint i = 0; i < table->observers->len; i++) {
		struct member_observer *observer = &g_array_index(
			table->observers, struct member_observer, i);

		if (observer->handle_removed)
			observer->handle_removed(member, observer->data);
	}
	member_table_toggle_digest(table, member);
	member_table_unindex_groups(table, member);
	LIST_REMOVE(member, bucket_link);
	TAILQ_REMOVE(&table->all, member, link);
	g_hash_table_remove(table->by_host, member->host);
	g_free(member->groups);
	g_free(member);
}
