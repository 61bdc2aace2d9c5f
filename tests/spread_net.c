#include "spread_net.h"

#include <string.h>

#include "comfreydockd/peer/link.h"
#include "common/clock.h"

#define TICK_US CONFIG_SPREAD_TICK_US

static const char *const names[NET_NAMES] = {"a", "b", "c"};

struct event {
	int64_t at_us;
	struct net_node *node; /* the receiver */
	unsigned int starts;
	struct net_node *from;
	Cfd__ConfigQuery *query;
	Cfd__ConfigBody *answer;
	config_get_handler get;
	char *key;
	void *data;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)unused;
	return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

static void post(struct net *net, struct event event, int64_t ms)
{
	struct event *copy = g_new(struct event, 1);

	*copy = event;
	copy->at_us = net->now_us + ms * US_PER_MS;
	copy->starts = event.node->starts;
	g_queue_insert_sorted(&net->events, copy, compare_events, NULL);
}

static bool is_lost(const struct net *net)
{
	return g_test_rand_int_range(0, 100) < net->lost_percent;
}

static int64_t random_delay_ms(const struct net *net)
{
	return g_test_rand_int_range(1, 5 + net->slow_ms);
}

static char *body_of(unsigned int name, uint64_t version)
{
	return g_strdup_printf(
		"{\"namespace\": \"%s\", \"services\": {\"s\": {\"hosts\": "
		"[\"%s\"], \"group\": \"g\", \"rules\": [{\"name\": "
		"\"r\", \"deadline_ms\": %" G_GUINT64_FORMAT "}]}}}",
		names[name], names[name], version);
}

static struct net_node *node_of(struct net *net, const char *host)
{
	for (unsigned int i = 0; i < net->count; i++) {
		if (strcmp(net->nodes[i].host, host) == 0)
			return &net->nodes[i];
	}
	g_assert_not_reached();
}

/* Packs and unpacks the query, as a link does. */
static void ask(const struct member *member, const Cfd__ConfigQuery *query,
		void *data)
{
	struct net_node *from = data;
	struct net *net = from->net;
	struct event event = {.node = node_of(net, member->host), .from = from};
	Cfd__ConfigQuery sent = *query;
	uint8_t *bytes;
	size_t size;

	if (net->asks_plainly) {
		sent.n_held_sha256 = 0;
		sent.takes_encoded = false;
	}
	size = cfd__config_query__get_packed_size(&sent);
	bytes = g_malloc(size);
	net->questions++;
	cfd__config_query__pack(&sent, bytes);
	event.query = cfd__config_query__unpack(NULL, size, bytes);
	g_free(bytes);
	post(net, event, random_delay_ms(net));
}

static void damage(Cfd__ConfigLine *line)
{
	if (line->body.len)
		line->body.data[0] ^= 1;
	if (line->n_deltas)
		line->deltas[0].data[line->deltas[0].len / 2] ^= 1;
}

static void deliver_query(struct event *event)
{
	struct net_node *node = event->node;
	Cfd__ConfigBody *answer =
		config_spread_answer(node->spread, event->query);
	size_t size = cfd__config_body__get_packed_size(answer);
	uint8_t *bytes = g_malloc(size);
	struct event back = {.node = event->from, .from = node};

	cfd__config_body__pack(answer, bytes);
	/* A link drops larger frames. */
	g_assert_cmpuint(size, <, LINK_MAX_FRAME_BYTES);
	back.answer = cfd__config_body__unpack(NULL, size, bytes);
	for (size_t i = 0; node->corrupts && i < back.answer->n_lines; i++)
		damage(back.answer->lines[i]);
	g_free(bytes);
	config_spread_free_answer(answer);
	node->net->answer_bytes += size;
	post(node->net, back, random_delay_ms(node->net));
}

static void answer_as_platform(struct event *event)
{
	struct net *net = event->node->net;
	char *text;

	if (net->platform_down || is_lost(net)) {
		event->get(CONFIG_PLATFORM_UNAVAILABLE, 0, NULL, 0, event->data);
		return;
	}
	if (strcmp(event->key, CONFIG_HEAD_KEY) == 0 ||
	    strcmp(event->key, CONFIG_RECENT_KEY) == 0) {
		net->head_reads++;
		text = strcmp(event->key, CONFIG_HEAD_KEY) == 0 ?
			       config_head_to_text(&net->head) :
			       config_head_to_recent_text(&net->head);
		event->get(CONFIG_PLATFORM_OK, net->head.head,
			   net->head.head ? text : NULL, strlen(text),
			   event->data);
		g_free(text);
		return;
	}
	net->object_reads++;
	text = g_hash_table_lookup(net->objects, event->key);
	event->get(CONFIG_PLATFORM_OK, 0, text, text ? strlen(text) : 0,
		   event->data);
}

static void get(void *platform, const char *key, config_get_handler handler,
		void *data)
{
	struct net_node *node = platform;
	struct event event = {
		.node = node, .get = handler, .key = g_strdup(key), .data = data};

	post(node->net, event, random_delay_ms(node->net));
}

static const struct config_platform_ops platform_ops = {
	.get = get,
	.get_object = get,
};

static void check_no_regression(struct net_node *node)
{
	for (unsigned int i = 0; i < NET_NAMES; i++) {
		struct config_namespace *ns = config_snapshot_find(
			config_store_current(node->store), names[i]);

		g_assert_cmpuint(ns ? ns->version : 0, >=, node->seen[i]);
		node->seen[i] = ns ? ns->version : 0;
	}
}

static void deliver(struct event *event)
{
	struct net_node *node = event->node;
	struct net_node *from = event->from;

	if (event->get)
		answer_as_platform(event);
	else if (!from || node->partitioned || from->partitioned ||
		 is_lost(node->net))
		return;
	else if (event->query)
		deliver_query(event);
	else
		config_spread_take_answer(node->spread, from->host,
					  event->answer);
}

static void run_event(struct event *event)
{
	struct net_node *node = event->node;

	if (node->up && node->starts == event->starts) {
		deliver(event);
		check_no_regression(node);
	}
	if (event->query)
		cfd__config_query__free_unpacked(event->query, NULL);
	if (event->answer)
		cfd__config_body__free_unpacked(event->answer, NULL);
	g_free(event->key);
	g_free(event);
}

static void gossip(struct net *net, struct net_node *node)
{
	struct net_node *other =
		&net->nodes[g_test_rand_int_range(0, (int)net->count)];
	uint64_t head = config_store_head(node->store);

	if (other == node || !other->up || other->partitioned ||
	    node->partitioned || is_lost(net) ||
	    head <= config_store_head(other->store))
		return;
	config_store_note_head(other->store, head, node->host);
}

static void tick(struct net *net)
{
	for (unsigned int i = 0; i < net->count; i++) {
		struct net_node *node = &net->nodes[i];

		if (!node->up)
			continue;
		config_spread_tick(node->spread, net->now_us);
		gossip(net, node);
		check_no_regression(node);
	}
}

void net_run(struct net *net, int64_t ms)
{
	int64_t end_us = net->now_us + ms * US_PER_MS;

	while (net->now_us < end_us) {
		struct event *event = g_queue_peek_head(&net->events);
		int64_t next_tick_us = (net->now_us / TICK_US + 1) * TICK_US;

		if (event && event->at_us <= next_tick_us) {
			net->now_us = event->at_us;
			run_event(g_queue_pop_head(&net->events));
			continue;
		}
		net->now_us = next_tick_us;
		tick(net);
	}
}

static void publish(uint64_t head, void *data)
{
	struct net_node *node = data;

	g_assert_cmpuint(head, ==, config_store_head(node->store));
}

static const char *domain_of(const struct net *net, unsigned int i)
{
	static const char *const domains[] = {"hall-esja", "hall-katla"};

	return domains[net->count > 3 ? i % 2 : 0];
}

/* Every running node gets the state of all nodes; a stopped node is dead. */
static void update_members(struct net *net)
{
	for (unsigned int i = 0; i < net->count; i++) {
		for (unsigned int j = 0; j < net->count; j++) {
			const struct net_node *node = &net->nodes[j];
			struct member record = {
				.incarnation = node->starts,
				.peer_port = 1,
				.domain = domain_of(net, j),
				.region = "reykjavik",
				.state = node->up ? MEMBER_ALIVE : MEMBER_DEAD,
			};

			g_strlcpy(record.host, node->host, sizeof(record.host));
			g_strlcpy(record.address, "127.0.0.1",
				  sizeof(record.address));
			if (net->nodes[i].up && node->starts)
				member_table_update(net->nodes[i].members,
						    &record, net->now_us);
		}
	}
}

void net_stop(struct net *net, unsigned int i)
{
	struct net_node *node = &net->nodes[i];

	node->up = false;
	config_spread_destroy(node->spread);
	config_store_destroy(node->store);
	member_table_destroy(node->members);
	memset(node->seen, 0, sizeof(node->seen));
	update_members(net);
}

void net_start(struct net *net, unsigned int i)
{
	struct net_node *node = &net->nodes[i];
	struct config_spread_options options = {
		.host = node->host,
		.domain = domain_of(net, i),
		.platform_ops = &platform_ops,
		.platform = node,
		.ops = &node->ops,
		.slice_queue = net->slice_queue,
		.seed = (uint64_t)g_test_rand_int(),
	};

	node->up = true;
	node->starts++;
	node->store = config_store_create();
	node->members = member_table_create();
	node->ops = (struct config_spread_ops){ask, publish, node};
	options.store = node->store;
	options.members = node->members;
	node->spread = config_spread_create(&options, net->now_us);
	update_members(net);
}

void net_init(struct net *net, unsigned int count)
{
	memset(net, 0, sizeof(*net));
	net->count = count;
	net->now_us = US_PER_S;
	g_queue_init(&net->events);
	config_head_init(&net->head);
	net->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned int i = 0; i < count; i++) {
		net->nodes[i].net = net;
		g_snprintf(net->nodes[i].host, MEMBER_HOST_MAX, "d%u", i);
	}
	for (unsigned int i = 0; i < count; i++)
		net_start(net, i);
}

void net_finish(struct net *net)
{
	struct event *event;

	for (unsigned int i = 0; i < net->count; i++) {
		if (net->nodes[i].up)
			net_stop(net, i);
	}
	while ((event = g_queue_pop_head(&net->events)))
		run_event(event);
	config_head_finish(&net->head);
	g_hash_table_unref(net->objects);
}

static const struct config_version *listed(const struct net *net,
					   unsigned int name)
{
	for (guint i = 0; i < net->head.versions->len; i++) {
		const struct config_version *version = &g_array_index(
			net->head.versions, struct config_version, i);

		if (strcmp(version->name, names[name]) == 0)
			return version;
	}
	return NULL;
}

void net_apply(struct net *net, unsigned int name)
{
	net_apply_sized(net, name, 0);
}

/* Appends a comment of drawn characters, which does not change the meaning. */
static char *body_of_size(unsigned int name, uint64_t version, size_t bytes)
{
	char *body = body_of(name, version);
	GString *text = g_string_new(body);

	if (text->len < bytes)
		g_string_append(text, " // ");
	while (text->len < bytes)
		g_string_append_c(text, (char)g_test_rand_int_range('0', 'z'));
	g_free(body);
	return g_string_free(text, FALSE);
}

static uint64_t next_version(const struct net *net, unsigned int name)
{
	const struct config_version *version = listed(net, name);

	return (version ? version->version : 0) + 1;
}

void net_apply_sized(struct net *net, unsigned int name, size_t bytes)
{
	net_apply_body(net, name,
		       body_of_size(name, next_version(net, name), bytes));
}

void net_apply_body(struct net *net, unsigned int name, char *body)
{
	uint64_t next = next_version(net, name);
	char sha256[65];

	config_body_sha256(body, strlen(body), sha256);
	g_hash_table_replace(net->objects, config_object_key(sha256), body);
	config_head_record_commit(&net->head, names[name], next, sha256);
}

uint64_t net_held(const struct net *net, unsigned int i, unsigned int name)
{
	const struct config_namespace *ns = config_snapshot_find(
		config_store_current(net->nodes[i].store), names[name]);

	return ns ? ns->version : 0;
}

bool net_has_converged(const struct net *net)
{
	for (unsigned int i = 0; i < net->count; i++) {
		if (!net->nodes[i].up)
			continue;
		if (config_store_head(net->nodes[i].store) != net->head.head)
			return false;
		for (unsigned int j = 0; j < NET_NAMES; j++) {
			const struct config_version *version = listed(net, j);

			if (net_held(net, i, j) !=
			    (version ? version->version : 0))
				return false;
		}
	}
	return true;
}
