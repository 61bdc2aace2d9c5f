/*
 * NAME
 *	bench_services - cost to an entry of a change of one host
 *
 * SYNOPSIS
 *	bench-services HOSTS...
 *
 * DESCRIPTION
 *	For each size: fills a member table and makes the entry keep state for
 *	every service. There is one service per eight hosts; the first has
 *	LARGE_HOSTS. Prints the processor time to update the service state for
 *	one changed host, and to look up a service, both without a change and
 *	after a change of another service's host. Also prints the time of the
 *	tick, which runs ten times a second, with all services in use and a
 *	minute after the last call.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "bench/capacity/usage.h"
#include "comfreydockd/caller/services.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"

#define HOSTS_PER_SERVICE 8
#define LARGE_HOSTS 600
#define ROUNDS 20000
#define TICKS 100
#define IDLE_AFTER_US (60 * US_PER_S)
#define DEPLOYMENT_SIZE 22000

struct bench {
	struct settings settings;
	struct daemon daemon;
	struct services *services;
	GPtrArray *configs; /* of struct config_service */
	int hosts;
	uint64_t incarnation;
	int64_t now_us;
};

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static guint service_of(const struct bench *bench, int host)
{
	return host < LARGE_HOSTS ? 0 : (guint)host % bench->configs->len;
}

static void change_host(struct bench *bench, int host)
{
	const struct config_service *config =
		g_ptr_array_index(bench->configs, service_of(bench, host));
	char *groups[] = {config->group, NULL};
	struct member member = {.incarnation = ++bench->incarnation,
				.peer_port = 7000,
				.domain = host % 13 ? "other" : "own",
				.region = "region",
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 12};

	snprintf(member.host, sizeof(member.host), "host-%05d", host);
	snprintf(member.address, sizeof(member.address), "10.1.%d.%d",
		 host / 250, host % 250);
	member_table_update(bench->daemon.members, &member, ++bench->now_us);
}

static void add_service(struct bench *bench, int number)
{
	struct config_service *config = g_new0(struct config_service, 1);

	config->namespace = g_strdup("bench");
	config->name = g_strdup_printf("service-%d", number);
	config->group = g_strdup(config->name);
	config->rules = g_ptr_array_new();
	g_ptr_array_add(bench->configs, config);
}

static void bench_init(struct bench *bench, int hosts)
{
	*bench = (struct bench){.hosts = hosts, .now_us = 1};
	bench->settings.host = "host-00000";
	bench->settings.domain = "own";
	bench->daemon.settings = &bench->settings;
	bench->daemon.members = member_table_create();
	bench->daemon.config = config_store_create();
	bench->configs = g_ptr_array_new();
	for (int i = 0; i < hosts / HOSTS_PER_SERVICE; i++)
		add_service(bench, i);
	for (int i = 0; i < hosts; i++)
		change_host(bench, i);
	bench->services = services_create(&bench->daemon);
}

static void find_service(struct bench *bench, int number)
{
	const struct config_service *config = g_ptr_array_index(
		bench->configs, (guint)number % bench->configs->len);

	services_get(bench->services, config->group);
}

/* RETURN VALUE: the processor time of one round in microseconds. */
static double time_rounds(struct bench *bench, bool with_change, bool with_find)
{
	double began = now_s();

	for (int i = 0; i < ROUNDS; i++) {
		/* Changes hosts with odd numbers and looks up services with
		 * even ones. */
		if (with_change)
			change_host(bench, (i * 2 + 1) % bench->hosts);
		if (with_find)
			find_service(bench, i * 2);
	}
	return (now_s() - began) / ROUNDS * 1e6;
}

/* The first tick is not timed, since it drops the services that are no longer
 * called. */
static double time_ticks(struct bench *bench, int64_t now_us)
{
	double began;

	services_tick(bench->services, now_us);
	began = now_s();
	for (int i = 0; i < TICKS; i++)
		services_tick(bench->services, now_us);
	return (now_s() - began) / TICKS * 1e6;
}

static void run_size(int hosts, struct usage_fit *changed,
		     struct usage_fit *found, struct usage_fit *tick)
{
	struct bench bench;
	size_t before;
	double table_us;
	double change_us;
	double find_us;
	double both_us;
	double busy_us;
	double idle_us;

	bench_init(&bench, hosts);
	table_us = time_rounds(&bench, true, false);
	before = mallinfo2().uordblks;
	for (guint i = 0; i < bench.configs->len; i++)
		find_service(&bench, (int)i);
	printf("hosts %d: state of %u services, %.0f bytes each\n", hosts,
	       bench.configs->len,
	       (double)(mallinfo2().uordblks - before) / bench.configs->len);
	change_us = time_rounds(&bench, true, false);
	find_us = time_rounds(&bench, false, true);
	both_us = time_rounds(&bench, true, true);
	printf("hosts %d: a change %.2f us, of which the table %.2f; a service "
	       "lookup %.2f us, after a change elsewhere %.2f us\n",
	       hosts, change_us, table_us, find_us, both_us - change_us);
	busy_us = time_ticks(&bench, clock_mono_us());
	idle_us = time_ticks(&bench, clock_mono_us() + IDLE_AFTER_US);
	printf("hosts %d: a tick %.1f us with all services in use, %.2f us "
	       "one minute after the last call\n",
	       hosts, busy_us, idle_us);
	usage_fit_add(tick, hosts, busy_us);
	usage_fit_add(changed, hosts, change_us);
	usage_fit_add(found, hosts, both_us - change_us);
	services_destroy(bench.services);
	member_table_destroy(bench.daemon.members);
}

int main(int argc, char **argv)
{
	struct usage_fit changed = {0};
	struct usage_fit found = {0};
	struct usage_fit tick = {0};

	for (int i = 1; i < argc; i++)
		run_size(MAX(atoi(argv[i]), LARGE_HOSTS * 2), &changed, &found,
			 &tick);
	usage_fit_print(&changed, "us per change", DEPLOYMENT_SIZE);
	usage_fit_print(&found, "us per lookup after a change", DEPLOYMENT_SIZE);
	usage_fit_print(&tick, "us per tick, all in use", DEPLOYMENT_SIZE);
	return 0;
}
