#include "comfreydockd/caller/claim.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/platform/platform.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/jsonc.h"
#include "common/log.h"

#define STATE_BEGUN "begun"
#define STATE_DONE "done"

#define TAKE_TRIES 6
#define RELEASE_TRIES 10
#define PAUSE_MIN_MS 25
#define PAUSE_MAX_MS 2000

enum claim_state {
	CLAIM_TAKING,
	CLAIM_HELD,
	CLAIM_RELEASING,
	CLAIM_MARKING, /* as done */
};

struct claim {
	LIST_ENTRY(claim) link;
	struct claims *claims;
	enum claim_state state;
	char id[ID_TEXT_SIZE];
	char *key; /* of the row */
	int64_t expires_ms; /* wall clock */
	uint64_t row_version; /* of the row that is ours */
	unsigned int unresolved; /* writes whose answer was lost: may still land */
	unsigned int tries;
	uint32_t pause_ms;
	ev_timer pause;
	claim_handler handler; /* NULL: ended before */
	void *data;
};

struct claims {
	struct ev_loop *loop;
	struct platform *platform;
	LIST_HEAD(, claim) all;
};

static void read_row(struct claim *claim);
static void delete_row(struct claim *claim);

struct claims *claims_create(struct ev_loop *loop, struct platform *platform)
{
	struct claims *claims = g_new0(struct claims, 1);

	claims->loop = loop;
	claims->platform = platform;
	LIST_INIT(&claims->all);
	return claims;
}

static void claim_free(struct claim *claim)
{
	ev_timer_stop(claim->claims->loop, &claim->pause);
	LIST_REMOVE(claim, link);
	g_free(claim->key);
	g_free(claim);
}

void claims_destroy(struct claims *claims)
{
	struct claim *claim;

	if (!claims)
		return;
	while ((claim = LIST_FIRST(&claims->all)))
		claim_free(claim);
	g_free(claims);
}

size_t claims_busy(const struct claims *claims)
{
	const struct claim *claim;
	size_t count = 0;

	LIST_FOREACH (claim, &claims->all, link)
		count += claim->state != CLAIM_HELD;
	return count;
}

static bool parse_row(const char *text, json_object **root)
{
	*root = text ? json_tokener_parse(text) : NULL;
	return json_object_is_type(*root, json_type_object);
}

bool claim_row_is_expired(const struct platform_row *row)
{
	int64_t now_ms = clock_wall_us() / US_PER_MS;
	json_object *root;
	bool expired;

	/* What can't be read is not ours to delete. */
	expired = parse_row(row->value, &root) &&
		  jsonc_get_uint(root, "expires_ms") > 0 &&
		  (int64_t)jsonc_get_uint(root, "expires_ms") + CLAIM_MARGIN_MS <
			  now_ms;
	json_object_put(root);
	return expired;
}

static void tell(struct claim *claim, enum claim_result result,
		 unsigned int status)
{
	claim_handler handler = claim->handler;

	claim->handler = NULL;
	handler(result, status, claim->data);
}

static void handle_pause(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	read_row(timer->data);
}

static void read_later(struct claim *claim)
{
	struct ev_loop *loop = claim->claims->loop;
	uint32_t pause_ms = claim->pause_ms;

	claim->pause_ms = MIN(pause_ms * 2, PAUSE_MAX_MS);
	ev_timer_stop(loop, &claim->pause);
	ev_timer_set(&claim->pause, pause_ms / 1000.0, 0.0);
	ev_timer_start(loop, &claim->pause);
}

/*
 * A write whose answer was lost can land later. The row would then refuse the key
 * until it expires, though nothing has run: the caller who was told "not run"
 * would come back and be told that it may have run. So the row is looked for
 * a while, and deleted.
 */
static void release(struct claim *claim)
{
	claim->state = CLAIM_RELEASING;
	claim->tries = 0;
	claim->pause_ms = PAUSE_MIN_MS;
	if (claim->row_version)
		delete_row(claim);
	else if (claim->unresolved)
		read_later(claim);
	else
		claim_free(claim);
}

/* After a read in vain, or one that found no row of ours. */
static void release_further(struct claim *claim)
{
	if (++claim->tries < RELEASE_TRIES) {
		read_later(claim);
		return;
	}
	counters.claims_left++;
	log_event(EV_CLAIM_LEFT, LOG_STR("key", claim->key));
	claim_free(claim);
}

static void note_deleted(struct claim *claim)
{
	counters.claims_released++;
	claim->row_version = 0;
	if (claim->unresolved)
		release_further(claim);
	else
		claim_free(claim);
}

static void handle_deleted(const struct platform_answer *answer, void *data)
{
	struct claim *claim = data;

	if (answer->status == PLATFORM_OK)
		note_deleted(claim);
	else
		read_later(claim);
}

static void delete_row(struct claim *claim)
{
	struct platform_op op = {
		.kind = PLATFORM_DELETE,
		.key = claim->key,
		.if_version = (int64_t)claim->row_version,
	};

	counters.claims_writes++;
	platform_transact(claim->claims->platform, claim->id, &op, 1,
			  handle_deleted, claim);
}

static char *row_text(const struct claim *claim, const char *state,
		      unsigned int status)
{
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "claim", claim->id);
	jsonc_add_text(root, "state", state);
	if (status)
		jsonc_add_uint(root, "status", status);
	jsonc_add_uint(root, "expires_ms", (uint64_t)claim->expires_ms);
	return jsonc_to_text(root);
}

static void write_row(struct claim *claim, uint64_t if_version, const char *state,
		      unsigned int status, platform_handler handler)
{
	char *text = row_text(claim, state, status);
	struct platform_op op = {
		.kind = PLATFORM_PUT,
		.key = claim->key,
		.if_version = (int64_t)if_version,
		.value = text,
	};

	counters.claims_writes++;
	platform_transact(claim->claims->platform, claim->id, &op, 1, handler,
			  claim);
	g_free(text);
}

static void hold(struct claim *claim, uint64_t row_version)
{
	claim->row_version = row_version;
	if (!claim->handler) {
		release(claim);
		return;
	}
	claim->state = CLAIM_HELD;
	counters.claims_taken++;
	tell(claim, CLAIM_TAKEN, 0);
}

static void fail(struct claim *claim, enum claim_result result,
		 unsigned int status)
{
	if (claim->handler)
		tell(claim, result, status);
	release(claim);
}

static void handle_written(const struct platform_answer *answer, void *data)
{
	struct claim *claim = data;

	switch (answer->status) {
	case PLATFORM_OK:
		if (answer->row_count) {
			hold(claim, answer->rows[0].version);
			return;
		}
		claim->unresolved++;
		read_later(claim);
		return;
	case PLATFORM_CONFLICT:
		read_row(claim);
		return;
	case PLATFORM_UNKNOWN:
		claim->unresolved++;
		read_later(claim);
		return;
	default:
		fail(claim, CLAIM_UNAVAILABLE, 0);
		return;
	}
}

/* Somebody else's row, while we take. */
static void note_other(struct claim *claim, const struct platform_row *row,
		       json_object *root)
{
	const char *state = jsonc_get_text(root, "state");
	uint64_t status = jsonc_get_uint(root, "status");

	if (claim->handler && claim_row_is_expired(row)) {
		write_row(claim, row->version, STATE_BEGUN, 0, handle_written);
		return;
	}
	counters.claims_in_use++;
	if (strcmp(state, STATE_DONE) == 0)
		fail(claim, CLAIM_DONE, (unsigned int)status);
	else
		fail(claim, CLAIM_IN_USE, 0);
}

static void note_row(struct claim *claim, const struct platform_row *row)
{
	json_object *root;
	bool is_ours = parse_row(row->value, &root) &&
		       strcmp(jsonc_get_text(root, "claim"), claim->id) == 0;

	/* One of the lost writes is this row. */
	if (is_ours && row->version != claim->row_version && claim->unresolved)
		claim->unresolved--;
	if (is_ours && claim->state == CLAIM_TAKING) {
		hold(claim, row->version);
	} else if (is_ours) {
		claim->row_version = row->version;
		delete_row(claim);
	} else if (claim->state == CLAIM_TAKING) {
		note_other(claim, row, root);
	} else if (claim->row_version) {
		claim_free(claim); /* replaced, once it had expired */
	} else {
		release_further(claim);
	}
	json_object_put(root);
}

static void note_absent(struct claim *claim)
{
	if (claim->state == CLAIM_RELEASING && claim->row_version) {
		/* A delete whose answer was lost took effect. */
		note_deleted(claim);
	} else if (claim->state == CLAIM_RELEASING || !claim->handler) {
		claim->state = CLAIM_RELEASING;
		release_further(claim);
	} else if (++claim->tries < TAKE_TRIES) {
		write_row(claim, 0, STATE_BEGUN, 0, handle_written);
	} else {
		fail(claim, CLAIM_UNAVAILABLE, 0);
	}
}

static void handle_read(const struct platform_answer *answer, void *data)
{
	struct claim *claim = data;

	if (answer->status == PLATFORM_OK && answer->row_count)
		note_row(claim, &answer->rows[0]);
	else if (answer->status == PLATFORM_NOT_FOUND)
		note_absent(claim);
	else if (claim->state == CLAIM_RELEASING)
		release_further(claim);
	else if (claim->handler && ++claim->tries < TAKE_TRIES)
		read_later(claim);
	else
		fail(claim, CLAIM_UNAVAILABLE, 0);
}

static void read_row(struct claim *claim)
{
	platform_get(claim->claims->platform, claim->key, handle_read, claim);
}

static char *row_key(const struct claim_request *request)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *key;

	/* With its 0, so that no two pairs run into one text. */
	g_checksum_update(checksum, (const guchar *)request->service,
			  (gssize)strlen(request->service) + 1);
	g_checksum_update(checksum, (const guchar *)request->key, -1);
	key = g_strconcat(CLAIM_PREFIX, request->namespace, "/",
			  g_checksum_get_string(checksum), NULL);
	g_checksum_free(checksum);
	return key;
}

struct claim *claim_take(struct claims *claims,
			 const struct claim_request *request,
			 claim_handler handler, void *data)
{
	struct claim *claim = g_new0(struct claim, 1);

	claim->claims = claims;
	claim->handler = handler;
	claim->data = data;
	claim->key = row_key(request);
	claim->expires_ms = clock_wall_us() / US_PER_MS +
			    (int64_t)request->lifetime_s * 1000;
	claim->pause_ms = PAUSE_MIN_MS;
	id_random(claim->id);
	ev_init(&claim->pause, handle_pause);
	claim->pause.data = claim;
	LIST_INSERT_HEAD(&claims->all, claim, link);
	write_row(claim, 0, STATE_BEGUN, 0, handle_written);
	return claim;
}

/* Tried once: without the mark a second request is told "unknown". */
static void handle_marked(const struct platform_answer *answer, void *data)
{
	(void)answer;
	claim_free(data);
}

void claim_end_done(struct claim *claim, unsigned int status)
{
	claim->state = CLAIM_MARKING;
	write_row(claim, claim->row_version, STATE_DONE, status, handle_marked);
}

void claim_end_released(struct claim *claim)
{
	claim->handler = NULL;
	if (claim->state == CLAIM_HELD)
		release(claim);
}

void claim_end_kept(struct claim *claim)
{
	claim_free(claim);
}
