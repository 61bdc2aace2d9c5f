#include "comfreydockd/config/platform_ops.h"

#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/platform/platform.h"

struct config_call {
	LIST_ENTRY(config_call) link;
	struct config_platform *owner;
	config_get_handler get;
	config_done_handler done;
	void (*waited)(void *data);
	void *data;
	ev_timer timer;
};

struct config_platform {
	struct ev_loop *loop;
	struct platform *platform;
	LIST_HEAD(, config_call) calls;
};

struct config_platform *config_platform_create(struct ev_loop *loop,
					       struct platform *platform)
{
	struct config_platform *created = g_new0(struct config_platform, 1);

	created->loop = loop;
	created->platform = platform;
	LIST_INIT(&created->calls);
	return created;
}

static void config_call_free(struct config_call *call)
{
	ev_timer_stop(call->owner->loop, &call->timer);
	LIST_REMOVE(call, link);
	g_free(call);
}

void config_platform_destroy(struct config_platform *platform)
{
	struct config_call *call;

	if (!platform)
		return;
	while ((call = LIST_FIRST(&platform->calls)))
		config_call_free(call);
	g_free(platform);
}

static void handle_waited(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_call *call = timer->data;
	struct config_call copy = *call;

	(void)loop;
	(void)events;
	config_call_free(call);
	copy.waited(copy.data);
}

static struct config_call *config_call_new(struct config_platform *owner,
					   void *data)
{
	struct config_call *call = g_new0(struct config_call, 1);

	call->owner = owner;
	call->data = data;
	ev_init(&call->timer, handle_waited);
	call->timer.data = call;
	LIST_INSERT_HEAD(&owner->calls, call, link);
	return call;
}

/* A rejected request was not applied, so it maps to UNAVAILABLE. */
static enum config_platform_status status_of(enum platform_status status)
{
	switch (status) {
	case PLATFORM_OK:
	case PLATFORM_NOT_FOUND:
		return CONFIG_PLATFORM_OK;
	case PLATFORM_CONFLICT:
		return CONFIG_PLATFORM_CONFLICT;
	case PLATFORM_REJECTED:
	case PLATFORM_HISTORY_GONE:
	case PLATFORM_UNAVAILABLE:
		return CONFIG_PLATFORM_UNAVAILABLE;
	case PLATFORM_UNKNOWN:
		break;
	}
	return CONFIG_PLATFORM_UNKNOWN;
}

static void handle_row(const struct platform_answer *answer, void *data)
{
	struct config_call *call = data;
	struct config_call copy = *call;
	const struct platform_row *row = answer->row_count ? answer->rows : NULL;

	config_call_free(call);
	if (answer->status != PLATFORM_OK)
		row = NULL;
	copy.get(status_of(answer->status), row ? row->version : 0,
		 row ? row->value : NULL, row ? row->size : 0, copy.data);
}

static void handle_object(const struct platform_answer *answer, void *data)
{
	struct config_call *call = data;
	struct config_call copy = *call;
	bool found = answer->status == PLATFORM_OK;

	config_call_free(call);
	copy.get(status_of(answer->status), 0, found ? answer->body : NULL,
		 found ? answer->size : 0, copy.data);
}

static void handle_done(const struct platform_answer *answer, void *data)
{
	struct config_call *call = data;
	struct config_call copy = *call;

	config_call_free(call);
	copy.done(status_of(answer->status), copy.data);
}

static void get(void *platform, const char *key, config_get_handler handler,
		void *data)
{
	struct config_platform *owner = platform;
	struct config_call *call = config_call_new(owner, data);

	call->get = handler;
	platform_get(owner->platform, key, handle_row, call);
}

static void transact(void *platform, const struct config_write *writes,
		     size_t count, config_done_handler handler, void *data)
{
	struct config_platform *owner = platform;
	struct config_call *call = config_call_new(owner, data);
	struct platform_op *ops = g_new0(struct platform_op, count);

	for (size_t i = 0; i < count; i++) {
		ops[i].kind = PLATFORM_PUT;
		ops[i].key = writes[i].key;
		ops[i].if_version = writes[i].row_version == CONFIG_ANY_VERSION ?
					    PLATFORM_ANY_VERSION :
					    (int64_t)writes[i].row_version;
		ops[i].value = writes[i].value;
	}
	call->done = handler;
	platform_transact(owner->platform, ops, count, handle_done, call);
	g_free(ops);
}

static void put_object(void *platform, const char *key, const char *body,
		       size_t size, config_done_handler handler, void *data)
{
	struct config_platform *owner = platform;
	struct config_call *call = config_call_new(owner, data);

	call->done = handler;
	platform_put_object(owner->platform, key, body, size, handle_done, call);
}

static void get_object(void *platform, const char *key,
		       config_get_handler handler, void *data)
{
	struct config_platform *owner = platform;
	struct config_call *call = config_call_new(owner, data);

	call->get = handler;
	platform_get_object(owner->platform, key, handle_object, call);
}

static void wait_ms(void *platform, uint32_t ms, void (*handler)(void *data),
		    void *data)
{
	struct config_platform *owner = platform;
	struct config_call *call = config_call_new(owner, data);

	call->waited = handler;
	ev_timer_set(&call->timer, ms / 1000.0, 0.0);
	ev_timer_start(owner->loop, &call->timer);
}

const struct config_platform_ops config_platform_ops = {
	.get = get,
	.transact = transact,
	.put_object = put_object,
	.get_object = get_object,
	.wait = wait_ms,
};
