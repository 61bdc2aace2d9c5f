#include "rows_fixture.h"

#include <string.h>

#include "common/clock.h"
#include "paused_clock.h"

struct rows_fixture fixture;

struct stored {
	char *value;
	uint64_t version;
};

static void stored_free(gpointer data)
{
	struct stored *stored = data;

	g_free(stored->value);
	g_free(stored);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void store_get_range(void *data G_GNUC_UNUSED, const char *first,
			    const char *end, unsigned int limit,
			    rows_range_handler handler, void *call)
{
	struct rows_row found[ROWS_PAGE];
	size_t count = 0;
	GTreeNode *node = g_tree_lower_bound(fixture.store.rows, first);

	fixture.store.reads++;
	for (; node && count < limit; node = g_tree_node_next(node)) {
		struct stored *stored = g_tree_node_value(node);

		if (strcmp(g_tree_node_key(node), end) >= 0)
			break;
		found[count++] = (struct rows_row){.key = g_tree_node_key(node),
						   .value = stored->value,
						   .size = strlen(stored->value),
						   .version = stored->version};
	}
	if (fixture.store.mode == STORE_HOLDS_READS) {
		g_assert_cmpuint(fixture.store.held_answer_count, <,
				 HELD_ANSWERS_MAX);
		fixture.store.held_answers[fixture.store.held_answer_count].handler =
			handler;
		fixture.store.held_answers[fixture.store.held_answer_count++].data =
			call;
		return;
	}
	handler(fixture.store.mode == STORE_DOWN ? ROWS_UNAVAILABLE : ROWS_OK,
		found, count, call);
}

static enum rows_status store_write(const char *key, const char *value,
				    uint64_t version)
{
	struct stored *stored = g_tree_lookup(fixture.store.rows, key);

	if (fixture.store.mode == STORE_DOWN)
		return ROWS_UNAVAILABLE;
	if ((stored ? stored->version : 0) != version)
		return ROWS_CONFLICT;
	g_tree_remove(fixture.store.rows, key);
	if (value) {
		stored = g_new0(struct stored, 1);
		stored->value = g_strdup(value);
		stored->version = ++fixture.store.next_version;
		g_tree_insert(fixture.store.rows, g_strdup(key), stored);
	}
	return fixture.store.mode == STORE_LOSES_ANSWERS ? ROWS_UNKNOWN : ROWS_OK;
}

static void store_put_if(void *data G_GNUC_UNUSED, const char *key,
			 const char *value, uint64_t version,
			 rows_done_handler handler, void *call)
{
	fixture.store.writes++;
	handler(store_write(key, value, version), call);
}

static void store_delete_if(void *data G_GNUC_UNUSED, const char *key,
			    uint64_t version, rows_done_handler handler,
			    void *call)
{
	fixture.store.deletes++;
	handler(store_write(key, NULL, version), call);
}

static const struct rows_store_ops store_ops = {.get_range = store_get_range,
						.put_if = store_put_if,
						.delete_if = store_delete_if};

const char *rows_stored(const char *key)
{
	struct stored *stored = g_tree_lookup(fixture.store.rows, key);

	return stored ? stored->value : NULL;
}

static void handle_peer(const char *address, uint16_t port,
			void *data G_GNUC_UNUSED)
{
	g_string_append_printf(fixture.joined, "%s:%u ", address, port);
}

static struct member record(const char *host, uint64_t incarnation,
			    enum member_state state)
{
	struct member member = {.incarnation = incarnation,
				.state = state,
				.address = "10.0.0.9",
				.peer_port = 7000,
				.domain = "surco",
				.region = "lima"};

	g_strlcpy(member.host, host, sizeof(member.host));
	return member;
}

void rows_add_member(const char *host, uint64_t incarnation,
		     enum member_state state)
{
	struct member member = record(host, incarnation, state);

	member_table_update(fixture.table, &member, clock_mono_us());
}

void rows_put_text(const char *host, const char *value)
{
	char *key = g_strconcat(ROWS_PREFIX, host, NULL);
	struct stored *old = g_tree_lookup(fixture.store.rows, key);

	store_write(key, value, old ? old->version : 0);
	g_free(key);
}

void rows_put_row_with(const char *host, uint64_t incarnation,
		       const struct quarantine *quarantine)
{
	struct member member = record(host, incarnation, MEMBER_ALIVE);
	char *value = rows_encode(&member, incarnation, quarantine);

	rows_put_text(host, value);
	g_free(value);
}

void rows_put_row(const char *host, uint64_t incarnation)
{
	rows_put_row_with(host, incarnation, NULL);
}

void rows_run(int seconds)
{
	for (int i = 0; i < seconds; i++) {
		paused_clock_advance_us(US_PER_S);
		ev_run(EV_DEFAULT, EVRUN_NOWAIT);
	}
}

static void handle_quarantine(const struct quarantine_record *held,
			      enum quarantine_change change, void *data)
{
	(void)data;
	if (fixture.rows)
		rows_note_quarantine(fixture.rows, held, change);
}

/* Creates what a daemon that has just started on this host has. */
void rows_start(void)
{
	struct rows_options options = {.loop = EV_DEFAULT,
				       .ops = &store_ops,
				       .seed = 7,
				       .handle_peer = handle_peer};

	fixture.table = options.table = member_table_create();
	rows_add_member("surco-1", 50, MEMBER_ALIVE);
	options.self = member_table_find(fixture.table, "surco-1");
	fixture.quarantine = options.quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, handle_quarantine, NULL);
	ev_now_update(EV_DEFAULT);
	fixture.rows = rows_create(&options);
}

void rows_begin(enum store_mode mode)
{
	memset(&fixture.store, 0, sizeof(fixture.store));
	fixture.store.rows =
		g_tree_new_full(compare_keys, NULL, g_free, stored_free);
	fixture.store.mode = mode;
	fixture.joined = g_string_new(NULL);
	rows_start();
}

/* Like a power loss: the row stays in the store. */
void rows_stop(void)
{
	rows_destroy(fixture.rows);
	fixture.rows = NULL;
	member_table_destroy(fixture.table);
	quarantine_destroy(fixture.quarantine);
}

void rows_finish(void)
{
	rows_stop();
	g_tree_destroy(fixture.store.rows);
	g_string_free(fixture.joined, TRUE);
}
