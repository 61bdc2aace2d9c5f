#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/config/follow.h"
#include "comfreydockd/decide/poll.h"
#include "comfreydockd/member/evacuation.h"
#include "common/clock.h"
#include "common/log.h"
#include "paused_clock.h"

#define TABLE "op"
#define KEY "op/config"
#define PREFIX "op/evacuate/"
#define NAMESPACE "n"
#define FILE_FORMAT                                                      \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h%s\"]," \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"deadline_ms\":100}]}}}"

struct open_call {
	platform_handler handler; /* NULL: none is open */
	void *data;
};

#define POLLS_MAX 64

/* A fake platform client: one read and one watch may be open at a time. A watch
 * is its own handle. Polls get no answer unless the test gives one. */
struct platform {
	struct open_call get;
	struct open_call watch;
	uint64_t after;
	unsigned int gets;
	unsigned int watches;
	unsigned int cancelled;
	struct open_call polls[POLLS_MAX];
	unsigned int poll_count;
	uint64_t poll_after;
};

static struct platform store;
static struct config_store *config;
static struct member_table *members;
static struct config_follow *follow;
static struct evacuation evacuation;

static void open_call(struct open_call *call, platform_handler handler, void *data)
{
	g_assert_null(call->handler);
	call->handler = handler;
	call->data = data;
}

void platform_get_from(struct platform *platform, const char *key,
		       unsigned int limit, platform_handler handler, void *data)
{
	g_assert_cmpstr(key, ==, KEY);
	g_assert_cmpuint(limit, >, EVACUATION_DOMAINS_MAX);
	open_call(&platform->get, handler, data);
	platform->gets++;
}

struct platform_call *platform_watch(struct platform *platform, const char *table,
				     uint64_t after, uint32_t wait_ms,
				     platform_handler handler, void *data)
{
	g_assert_cmpstr(table, ==, TABLE);
	g_assert_cmpuint(wait_ms, ==, CONFIG_FOLLOW_WAIT_MS);
	open_call(&platform->watch, handler, data);
	platform->after = after;
	platform->watches++;
	return (struct platform_call *)&platform->watch;
}

void platform_get_changes(struct platform *platform, const char *table,
			  uint64_t after, platform_handler handler, void *data)
{
	g_assert_cmpstr(table, ==, TABLE);
	open_call(&platform->polls[platform->poll_count++ % POLLS_MAX], handler,
		  data);
	platform->poll_after = after;
}

void platform_cancel(struct platform_call *call)
{
	struct open_call *open = (struct open_call *)call;

	g_assert_nonnull(open->handler);
	open->handler = NULL;
	store.cancelled++;
}

static bool is_asked(void)
{
	return store.get.handler || store.watch.handler;
}

/* A row without a value was deleted. */
static void answer_call(struct open_call *call, enum platform_status status,
			uint64_t version, const struct platform_row *rows,
			size_t count)
{
	struct platform_answer told = {
		.status = status,
		.rows = rows,
		.row_count = count,
		.version = version,
	};
	platform_handler handler = call->handler;

	g_assert_nonnull(handler);
	call->handler = NULL;
	handler(&told, call->data);
}

/* Answers the open read, if there is one, else the watch. */
static void answer_rows(enum platform_status status, uint64_t version,
			const struct platform_row *rows, size_t count)
{
	answer_call(store.get.handler ? &store.get : &store.watch, status,
		    version, rows, count);
}

static struct platform_row config_row(uint64_t version, char *value)
{
	return (struct platform_row){
		.key = (char *)KEY,
		.version = version,
		.value = value,
		.size = value ? strlen(value) : 0,
	};
}

/* Answers with the row of the configuration, or without rows. */
static void answer(enum platform_status status, uint64_t version, char *value)
{
	struct platform_row row = config_row(version, value);

	answer_rows(status, version, &row, value != NULL);
}

/* Answers the latest poll. */
static void answer_poll(enum platform_status status, uint64_t version, char *value)
{
	struct platform_row row = config_row(version, value);

	g_assert_cmpuint(store.poll_count, >, 0);
	answer_call(&store.polls[(store.poll_count - 1) % POLLS_MAX], status,
		    version, &row, value != NULL);
}

static bool is_evacuated(const char *domain)
{
	return evacuation_has(&evacuation, evacuation_key(domain));
}

static void run_ms(int64_t ms)
{
	for (int64_t i = 0; i < ms; i += 5) {
		paused_clock_advance_us(5 * US_PER_MS);
		ev_run(EV_DEFAULT, EVRUN_NOWAIT);
	}
}

/* The value of a row is its version in this test; "x" can't be parsed. */
static bool read_row(const char *value, size_t size, uint64_t *version,
		     char **body, const char **error, void *data)
{
	(void)size;
	(void)data;
	*error = "no number";
	*version = g_ascii_strtoull(value, NULL, 10);
	if (*version == 0)
		return false;
	*body = g_strdup_printf(FILE_FORMAT, value);
	return true;
}

static const struct config_follow_ops ops = {.read = read_row};

static uint64_t held(void)
{
	struct config_namespace *ns =
		config_snapshot_find(config_store_current(config), NAMESPACE);

	return ns ? ns->version : 0;
}

static void begin(void)
{
	struct config_follow_options options = {
		.loop = EV_DEFAULT,
		.platform = &store,
		.host = "a",
		.domain = "d",
		.table = TABLE,
		.key = KEY,
		.namespace = NAMESPACE,
		.evacuation_prefix = PREFIX,
		.evacuation = &evacuation,
		.ops = &ops,
		.seed = 3,
	};

	memset(&store, 0, sizeof(store));
	memset(&evacuation, 0, sizeof(evacuation));
	options.store = config = config_store_create();
	options.members = members = member_table_create();
	follow = config_follow_create(&options);
	run_ms(10);
}

static void finish(void)
{
	config_follow_destroy(follow);
	config_store_destroy(config);
	member_table_destroy(members);
}

static void test_row_is_read_then_watched(void)
{
	begin();
	g_assert_false(config_store_is_ready(config));
	answer(PLATFORM_OK, 12, (char *)"2");
	g_assert_true(config_store_is_ready(config));
	g_assert_cmpuint(held(), ==, 2);
	g_assert_cmpuint(config_store_head(config), ==, 2);
	run_ms(300);
	g_assert_nonnull(store.watch.handler);
	g_assert_cmpuint(store.after, ==, 12);
	answer(PLATFORM_OK, 15, (char *)"7");
	g_assert_cmpuint(held(), ==, 7);
	run_ms(300);
	g_assert_cmpuint(store.after, ==, 15);
	/* After half a minute without a change the watch continues from
	 * there. */
	answer(PLATFORM_OK, 20, NULL);
	run_ms(10);
	g_assert_cmpuint(store.after, ==, 20);
	finish();
}

/*
 * Guards against an older row from a replica of the store that lags behind. If
 * it were adopted, callers would be sent to a service that was removed.
 */
static void test_older_row_is_ignored(void)
{
	begin();
	answer(PLATFORM_OK, 12, (char *)"7");
	run_ms(300);
	answer(PLATFORM_OK, 13, (char *)"5");
	g_assert_cmpuint(held(), ==, 7);
	finish();
}

/* Guards against a stuck watch after the store dropped its history: the daemon
 * must read the row itself. */
static void test_lost_history_rereads_row(void)
{
	begin();
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(300);
	answer(PLATFORM_HISTORY_GONE, 0, NULL);
	run_ms(10);
	g_assert_nonnull(store.get.handler);
	answer(PLATFORM_OK, 40, (char *)"9");
	g_assert_cmpuint(held(), ==, 9);
	finish();
}

/*
 * Guards against wrong retry rates while the store is unavailable. Immediate
 * retries of all daemons would overload it as it returns; long delays would
 * keep callers on the old configuration.
 */
static void test_outage_backs_off(void)
{
	unsigned int asked;

	begin();
	answer(PLATFORM_UNAVAILABLE, 0, NULL);
	for (int i = 0; i < 6000; i++) {
		run_ms(5);
		if (is_asked())
			answer(PLATFORM_UNAVAILABLE, 0, NULL);
	}
	asked = store.gets;
	g_assert_cmpuint(asked, >=, 30);
	g_assert_cmpuint(asked, <=, 80);
	run_ms(1000);
	answer(PLATFORM_OK, 5, (char *)"1");
	g_assert_cmpuint(held(), ==, 1);
	finish();
}

/* Guards against a row that can't be parsed: nothing changes, and the watch
 * continues. */
static void test_unreadable_row_changes_nothing(void)
{
	begin();
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(300);
	answer(PLATFORM_OK, 13, (char *)"x");
	g_assert_cmpuint(held(), ==, 2);
	run_ms(300);
	g_assert_nonnull(store.watch.handler);
	g_assert_cmpuint(store.after, ==, 13);
	finish();
}

static void add_member(unsigned int number)
{
	struct member member = {.incarnation = 1,
				.address = "10.0.0.1",
				.peer_port = 7000,
				.domain = "d",
				.region = "r"};

	g_snprintf(member.host, sizeof(member.host), "host-%u", number);
	member_table_update(members, &member, 1);
}

/* Guards against too many watches: in a large domain a few daemons watch, and
 * the others hear of changes from them. */
static void test_few_of_many_watch(void)
{
	begin();
	for (unsigned int i = 0; i < 2000; i++)
		add_member(i);
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(5000);
	g_assert_cmpuint(store.watches, ==, 0);
	finish();
}

/* Begins with version 2 in a domain of 200 others, so that this daemon does not
 * watch. */
static void begin_among_many(void)
{
	begin();
	for (unsigned int i = 0; i < 200; i++)
		add_member(i);
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(1200);
	g_assert_false(is_asked());
}

/*
 * Guards against a daemon that keeps old routes although the store is
 * reachable. Peers that hold the new version fail to send it, because it is too
 * large, they are busy or there is another fault. The daemon must read the row
 * itself: not at once, since peers mostly succeed, and not at the same time as
 * all others.
 */
static void test_lagging_daemon_reads_row_itself(void)
{
	begin_among_many();
	config_store_note_head(config, 9, "host-1");
	run_ms(CONFIG_FOLLOW_PEER_GRACE_US / US_PER_MS - 10);
	g_assert_false(is_asked());
	run_ms(200 * CONFIG_FOLLOW_READ_SPACING_US / US_PER_MS + 20);
	g_assert_true(is_asked());
	g_assert_nonnull(store.get.handler);
	answer(PLATFORM_UNAVAILABLE, 0, NULL);
	run_ms(1000);
	g_assert_false(is_asked());
	run_ms(4000);
	answer(PLATFORM_OK, 30, (char *)"9");
	g_assert_cmpuint(held(), ==, 9);
	run_ms(5000);
	g_assert_false(is_asked());
	finish();
}

/* Guards against needless reads: if a peer sends the version in time, the store
 * must not be read. */
static void test_version_from_peer_avoids_read(void)
{
	struct config_version version = {.name = NAMESPACE, .version = 9, .at = 9};
	char *body = g_strdup_printf(FILE_FORMAT, "9");

	begin_among_many();
	config_store_note_head(config, 9, "host-1");
	/* Its pieces take longer to arrive than those of most versions. */
	for (int i = 0; i < 40; i++) {
		run_ms(100);
		config_store_note_piece(config);
	}
	config_store_note_listing(config, 9, &version, 1);
	config_store_offer_trusted(config, &version, body);
	g_free(body);
	g_assert_cmpuint(held(), ==, 9);
	run_ms(10000);
	g_assert_false(is_asked());
	g_assert_cmpuint(store.gets, ==, 1);
	finish();
}

/*
 * Guards against an endless wait for pieces: if versions follow each other
 * faster than one crosses the link, pieces keep arriving but no version is ever
 * complete.
 */
static void test_endless_pieces_do_not_prevent_read(void)
{
	uint64_t head = 9;

	begin_among_many();
	for (int i = 0; i < 600 && !is_asked(); i++) {
		if (i % 10 == 0)
			config_store_note_head(config, head++, "host-1");
		config_store_note_piece(config);
		run_ms(100);
		g_assert_true(i > 45 || !is_asked());
	}
	g_assert_true(is_asked());
	finish();
}

/*
 * Guards against a delay of half a minute: a watch is lost without an error and
 * ends only after that time, while peers name a higher head but can't send the
 * version.
 */
static void test_lost_watch_is_bypassed_by_read(void)
{
	begin();
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(300);
	g_assert_nonnull(store.watch.handler);
	config_store_note_head(config, 9, "host-1");
	run_ms(CONFIG_FOLLOW_PEER_GRACE_US / US_PER_MS + 200);
	g_assert_nonnull(store.get.handler);
	answer(PLATFORM_OK, 30, (char *)"9");
	g_assert_cmpuint(held(), ==, 9);
	run_ms(3000);
	g_assert_null(store.get.handler);
	g_assert_nonnull(store.watch.handler);
	finish();
}

/* Guards against an overload of the store when no daemon gets a version from
 * peers and all read the row themselves: at most 100 reads a second, also in
 * the minutes after the first read. */
static void test_rate_of_reads(void)
{
	enum {
		HOSTS = 2000,
		SECONDS = 600
	};
	unsigned int gets;

	begin();
	for (unsigned int i = 1; i < HOSTS; i++)
		add_member(i);
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(1200);
	config_store_note_head(config, 9, "host-1");
	gets = store.gets;
	for (int i = 0; i < SECONDS * 10; i++) {
		run_ms(100);
		if (is_asked())
			answer(PLATFORM_UNAVAILABLE, 0, NULL);
	}
	g_assert_cmpuint((store.gets - gets) * HOSTS / SECONDS, <=, 100);
	finish();
}

/* The rows of evacuated domains come with the reads and watches of the
 * configuration, without a call of their own. */
static void test_evacuations_are_followed(void)
{
	const struct platform_row read[] = {
		{.key = (char *)KEY, .version = 10, .value = (char *)"2", .size = 1},
		{.key = (char *)PREFIX "esja", .version = 12, .value = (char *)"{}"},
		{.key = (char *)"op/other", .version = 3, .value = (char *)"{}"},
	};
	const struct platform_row changed[] = {
		{.key = (char *)PREFIX "katla",
		 .version = 14,
		 .value = (char *)"{}"},
		{.key = (char *)PREFIX "esja", .version = 15},
	};

	begin();
	answer_rows(PLATFORM_OK, 12, read, G_N_ELEMENTS(read));
	g_assert_cmpuint(held(), ==, 2);
	g_assert_true(is_evacuated("esja"));
	g_assert_cmpuint(evacuation.count, ==, 1);
	run_ms(300);
	answer_rows(PLATFORM_OK, 16, changed, G_N_ELEMENTS(changed));
	g_assert_false(is_evacuated("esja"));
	g_assert_true(is_evacuated("katla"));
	g_assert_cmpuint(evacuation.as_of, ==, 16);
	g_assert_cmpuint(store.gets, ==, 1);
	finish();
}

/* Guards against a domain that goes on getting requests, as its row was changed
 * in one transaction with another. */
static void test_evacuations_of_a_transaction_are_followed(void)
{
	const struct platform_row changed[] = {
		{.key = (char *)PREFIX "askja", .version = 14},
		{.key = (char *)PREFIX "esja", .version = 14, .value = (char *)"{}"},
		{.key = (char *)PREFIX "katla",
		 .version = 14,
		 .value = (char *)"{}"},
	};

	begin();
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(300);
	answer_rows(PLATFORM_OK, 14, changed, G_N_ELEMENTS(changed));
	g_assert_true(is_evacuated("esja"));
	g_assert_true(is_evacuated("katla"));
	finish();
}

/* Guards against a domain that stays out of use, as it was restored while the
 * store dropped its history: the rows that are read are all there are. */
static void test_lost_history_restores_domain(void)
{
	const struct platform_row rows[] = {
		{.key = (char *)PREFIX "esja", .version = 12, .value = (char *)"{}"},
	};

	begin();
	answer_rows(PLATFORM_OK, 12, rows, G_N_ELEMENTS(rows));
	g_assert_true(is_evacuated("esja"));
	run_ms(300);
	answer(PLATFORM_HISTORY_GONE, 0, NULL);
	run_ms(10);
	answer(PLATFORM_OK, 40, (char *)"9");
	g_assert_false(is_evacuated("esja"));
	finish();
}

/* Begins with version 2 and an open watch. */
static void begin_watching(void)
{
	begin();
	answer(PLATFORM_OK, 12, (char *)"2");
	run_ms(300);
	g_assert_nonnull(store.watch.handler);
}

/* Guards against a change that no daemon hears of: all open watches were lost
 * without an error. */
static void test_poll_finds_what_a_lost_watch_misses(void)
{
	begin_watching();
	run_ms(POLL_INTERVAL_US / US_PER_MS);
	g_assert_cmpuint(store.poll_count, ==, 1);
	g_assert_cmpuint(store.poll_after, ==, 12);
	answer_poll(PLATFORM_OK, 30, (char *)"9");
	g_assert_cmpuint(held(), ==, 9);
	run_ms(1900);
	g_assert_cmpuint(store.cancelled, ==, 0);
	run_ms(1200);
	g_assert_cmpuint(store.cancelled, ==, 1);
	g_assert_cmpuint(store.watches, ==, 2);
	g_assert_cmpuint(store.after, ==, 30);
	run_ms(10000);
	g_assert_cmpuint(store.cancelled, ==, 1);
	finish();
}

/* Guards against requests to an evacuated domain whose row a lost watch did not
 * report. */
static void test_poll_finds_an_evacuation(void)
{
	const struct platform_row row = {.key = (char *)PREFIX "esja",
					 .version = 30,
					 .value = (char *)"{}"};

	begin_watching();
	run_ms(POLL_INTERVAL_US / US_PER_MS);
	answer_call(&store.polls[0], PLATFORM_OK, 30, &row, 1);
	g_assert_true(is_evacuated("esja"));
	run_ms(3200);
	g_assert_cmpuint(store.cancelled, ==, 1);
	finish();
}

/* Guards against more and more calls while the store gives no answer. */
static void test_unanswered_polls_are_bounded(void)
{
	begin_watching();
	run_ms(20000);
	g_assert_cmpuint(store.poll_count, <=, 20);
	g_assert_cmpuint(store.poll_count, >=, 18);
	finish();
}

/* A poll without a change confirms the version held, and the watch stays. */
static void test_poll_confirms_version(void)
{
	begin_watching();
	for (int i = 0; i < 30; i++) {
		run_ms(POLL_INTERVAL_US / US_PER_MS);
		if (store.polls[(store.poll_count - 1) % POLLS_MAX].handler)
			answer_poll(PLATFORM_OK, 12, NULL);
		g_assert_cmpint(config_store_confirmed_age_us(config), <=,
				2 * POLL_INTERVAL_US);
	}
	g_assert_cmpuint(store.cancelled, ==, 0);
	g_assert_cmpuint(store.watches, ==, 1);
	finish();
}

/* Guards against calls of every daemon: those far behind in the order don't
 * poll. */
static void test_few_of_many_poll(void)
{
	begin_among_many();
	run_ms(60000);
	g_assert_cmpuint(store.poll_count, ==, 0);
	finish();
}

/* Guards against two reads or watches at once after a poll that shows that the
 * store dropped its history. */
static void test_poll_finds_lost_history(void)
{
	begin_watching();
	run_ms(POLL_INTERVAL_US / US_PER_MS);
	answer_poll(PLATFORM_HISTORY_GONE, 0, NULL);
	run_ms(10);
	g_assert_cmpuint(store.cancelled, ==, 1);
	g_assert_nonnull(store.get.handler);
	answer(PLATFORM_OK, 40, (char *)"9");
	g_assert_cmpuint(held(), ==, 9);
	run_ms(300);
	g_assert_cmpuint(store.gets, ==, 2);
	g_assert_cmpuint(store.watches, ==, 2);
	g_assert_cmpuint(store.after, ==, 40);
	finish();
}

static void adopt_from_peer(unsigned int number)
{
	struct config_version version = {
		.name = NAMESPACE, .version = number, .at = number};
	char *value = g_strdup_printf("%u", number);
	char *body = g_strdup_printf(FILE_FORMAT, value);

	config_store_note_listing(config, number, &version, 1);
	config_store_offer_trusted(config, &version, body);
	g_free(body);
	g_free(value);
}

/* Guards against a watch that stays lost until it times out, although peers had
 * a version that it should have reported. */
static void test_peers_show_that_a_watch_is_lost(void)
{
	begin_watching();
	adopt_from_peer(9);
	run_ms(1900);
	g_assert_cmpuint(store.cancelled, ==, 0);
	run_ms(2200);
	g_assert_cmpuint(store.cancelled, ==, 1);
	g_assert_nonnull(store.watch.handler);
	answer(PLATFORM_OK, 30, (char *)"9");
	run_ms(10000);
	g_assert_cmpuint(store.cancelled, ==, 1);
	finish();
}

/* Guards against a watch that is opened again and again because the row holds a
 * lower version than this daemon. */
static void test_lower_row_keeps_the_watch(void)
{
	begin_watching();
	answer(PLATFORM_OK, 20, (char *)"9");
	run_ms(300);
	answer(PLATFORM_OK, 21, (char *)"5");
	run_ms(20000);
	g_assert_cmpuint(held(), ==, 9);
	g_assert_cmpuint(store.cancelled, ==, 0);
	finish();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/follow/watch", test_row_is_read_then_watched);
	g_test_add_func("/follow/older-row", test_older_row_is_ignored);
	g_test_add_func("/follow/history", test_lost_history_rereads_row);
	g_test_add_func("/follow/outage", test_outage_backs_off);
	g_test_add_func("/follow/unreadable",
			test_unreadable_row_changes_nothing);
	g_test_add_func("/follow/few", test_few_of_many_watch);
	g_test_add_func("/follow/own-read", test_lagging_daemon_reads_row_itself);
	g_test_add_func("/follow/from-peer", test_version_from_peer_avoids_read);
	g_test_add_func("/follow/endless-pieces",
			test_endless_pieces_do_not_prevent_read);
	g_test_add_func("/follow/lost-watch",
			test_lost_watch_is_bypassed_by_read);
	g_test_add_func("/follow/rate", test_rate_of_reads);
	g_test_add_func("/follow/poll", test_poll_finds_what_a_lost_watch_misses);
	g_test_add_func("/follow/poll-evacuation", test_poll_finds_an_evacuation);
	g_test_add_func("/follow/poll-unanswered",
			test_unanswered_polls_are_bounded);
	g_test_add_func("/follow/poll-confirms", test_poll_confirms_version);
	g_test_add_func("/follow/poll-few", test_few_of_many_poll);
	g_test_add_func("/follow/poll-history", test_poll_finds_lost_history);
	g_test_add_func("/follow/peers-first",
			test_peers_show_that_a_watch_is_lost);
	g_test_add_func("/follow/lower-row", test_lower_row_keeps_the_watch);
	g_test_add_func("/follow/evacuations", test_evacuations_are_followed);
	g_test_add_func("/follow/evacuation-transaction",
			test_evacuations_of_a_transaction_are_followed);
	g_test_add_func("/follow/evacuation-history",
			test_lost_history_restores_domain);
	return g_test_run();
}
