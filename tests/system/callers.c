#include "callers.h"

#define CALL_MS 3000

struct caller {
	GThread *thread;
	struct callers *callers;
	unsigned int number;
	unsigned int served;
	unsigned int failed;
};

struct callers {
	const struct fleet *fleet;
	const char *path;
	gint ends; /* atomic */
	unsigned int count;
	struct caller *list;
};

static bool call(const struct caller *caller, unsigned int calls)
{
	const struct callers *callers = caller->callers;
	const struct fleet *fleet = callers->fleet;
	unsigned int host = caller->number % fleet->options.count;
	char *id = g_strdup_printf("load-%" G_GINT64_FORMAT "-%u-%u",
				   g_get_monotonic_time(), caller->number, calls);
	const char *headers[] = {"Host", FLEET_VIRTUAL_HOST,
				 "X-Comfreydock-Request-Id", id, NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    fleet->hosts[host].caller, callers->path);
	struct rig_answer *answer = rig_http("GET", url, headers, NULL, CALL_MS);
	bool served = answer->arrived && answer->status == 200;

	rig_answer_free(answer);
	g_free(url);
	g_free(id);
	return served;
}

static gpointer call_until_end(gpointer data)
{
	struct caller *caller = data;
	unsigned int calls = 0;

	while (!g_atomic_int_get(&caller->callers->ends)) {
		if (call(caller, calls++)) {
			caller->served++;
			continue;
		}
		caller->failed++;
		rig_sleep_ms(CALLERS_PAUSE_MS);
	}
	return NULL;
}

struct callers *callers_start(const struct fleet *fleet, unsigned int count,
			      const char *path)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->fleet = fleet;
	callers->path = path;
	callers->count = count;
	callers->list = g_new0(struct caller, count);
	for (unsigned int i = 0; i < count; i++) {
		callers->list[i].callers = callers;
		callers->list[i].number = i;
		callers->list[i].thread = g_thread_new("caller", call_until_end,
						       &callers->list[i]);
	}
	return callers;
}

struct callers_count callers_stop(struct callers *callers)
{
	struct callers_count sum = {.least_served = G_MAXUINT};

	g_atomic_int_set(&callers->ends, 1);
	for (unsigned int i = 0; i < callers->count; i++) {
		struct caller *caller = &callers->list[i];

		g_thread_join(caller->thread);
		sum.served += caller->served;
		sum.failed += caller->failed;
		sum.least_served = MIN(sum.least_served, caller->served);
	}
	g_free(callers->list);
	g_free(callers);
	return sum;
}

struct callers_count callers_run(const struct fleet *fleet, unsigned int count,
				 const char *path, int ms)
{
	struct callers *callers = callers_start(fleet, count, path);

	rig_sleep_ms(ms);
	return callers_stop(callers);
}
