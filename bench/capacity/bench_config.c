/*
 * NAME
 *	bench_config - cost of the configuration, by the number of services
 *
 * SYNOPSIS
 *	bench-config SERVICES...
 *
 * DESCRIPTION
 *	For each size: checks and loads files of four services one after the
 *	other, as a daemon does with applied files. Prints the memory of all
 *	files, the time per file, the time to find the rule of a request, and
 *	the size of the head row.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/capacity/usage.h"
#include "comfreydockd/config/check.h"
#include "comfreydockd/config/rows.h"

#define SERVICES_PER_FILE 4
#define ROUNDS 20000
#define DEPLOYMENT_SIZE 2800

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static char *make_file(int number)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"namespace\": \"team-%d\", "
			       "\"services\": {",
			       number);
	for (int i = 0; i < SERVICES_PER_FILE; i++)
		g_string_append_printf(
			text,
			"%s\"service-%d\": {\"hosts\": "
			"[\"s%d.team-%d.example\"],"
			" \"path_prefixes\": [\"/team-%d/s%d\"], \"group\": "
			"\"team-%d-s%d\", \"shed_statuses\": [503], \"rules\": "
			"["
			"{\"name\": \"get\", \"methods\": [\"GET\"], "
			"\"idempotent\": true, \"deadline_ms\": 2000, "
			"\"retry\": {\"max_attempts\": 3, "
			"\"budget_percent\": 10}}, "
			"{\"name\": \"post\", \"deadline_ms\": 8000}]}",
			i ? ",\n" : "", i, i, number, number, i, number, i);
	g_string_append(text, "}}\n");
	return g_string_free(text, FALSE);
}

static struct config_snapshot *take_file(struct config_snapshot *snapshot,
					 int number, struct config_head *head)
{
	char *text = make_file(number);
	struct findings findings;
	struct config_namespace *ns;
	struct config_snapshot *next;

	findings_init(&findings);
	ns = config_namespace_load("bench.json", text, &findings);
	g_assert_nonnull(ns);
	config_body_sha256(text, strlen(text), ns->sha256);
	ns->version = 1;
	next = config_snapshot_with(snapshot, ns);
	config_head_record_commit(head, ns->name, ns->version, ns->sha256);
	config_namespace_unref(ns);
	config_snapshot_unref(snapshot);
	findings_finish(&findings);
	g_free(text);
	return next;
}

static double time_match(const struct config_snapshot *snapshot, int files)
{
	const struct config_service *service;
	const struct config_rule *rule;
	double began = now_s();

	for (int i = 0; i < ROUNDS; i++) {
		char path[48];

		g_snprintf(path, sizeof(path), "/team-%d/s%d/lookup/x?name=y",
			   i % files, i % SERVICES_PER_FILE);
		g_assert_true(config_snapshot_match(snapshot, "127.0.0.1:8080",
						    "GET", path, &service, &rule));
	}
	return (now_s() - began) / ROUNDS * 1e6;
}

static void run_size(int services, struct usage_fit *memory,
		     struct usage_fit *take, struct usage_fit *match)
{
	struct config_snapshot *snapshot = config_snapshot_create();
	int files = services / SERVICES_PER_FILE;
	int last_files = files / 10;
	size_t before = mallinfo2().uordblks;
	struct config_head head;
	double last_us = 0;
	double kib;
	double match_us;
	char *row;

	config_head_init(&head);
	for (int i = 0; i < files; i++) {
		double began = now_s();

		snapshot = take_file(snapshot, i, &head);
		/* Averages over the last tenth of the files, when nearly the
		 * whole configuration is in place. */
		if (i >= files - last_files)
			last_us += (now_s() - began) * 1e6 / last_files;
	}
	kib = (double)(mallinfo2().uordblks - before) / 1024;
	match_us = time_match(snapshot, files);
	row = config_head_to_text(&head);
	printf("services %d: %.0f KiB in %d files, %.0f us to load a file, "
	       "%.2f us to find a rule, head row %zu bytes\n",
	       services, kib, files, last_us, match_us, strlen(row));
	usage_fit_add(memory, services, kib);
	usage_fit_add(take, services, last_us);
	usage_fit_add(match, services, match_us);
	g_free(row);
	config_head_finish(&head);
	config_snapshot_unref(snapshot);
}

int main(int argc, char **argv)
{
	struct usage_fit memory = {0};
	struct usage_fit take = {0};
	struct usage_fit match = {0};

	for (int i = 1; i < argc; i++)
		run_size(MAX(atoi(argv[i]), SERVICES_PER_FILE * 10), &memory,
			 &take, &match);
	usage_fit_print(&memory, "KiB", DEPLOYMENT_SIZE);
	usage_fit_print(&take, "us to load a file", DEPLOYMENT_SIZE);
	usage_fit_print(&match, "us to find a rule", DEPLOYMENT_SIZE);
	return 0;
}
