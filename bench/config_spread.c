/*
 * Measures how long a configuration change takes until it is in force in every
 * daemon, and what its distribution costs each daemon. Starts the platform
 * stand-in and COUNT daemons in four failure domains on the loopback interface,
 * and applies NAMESPACES namespaces. Then it applies CHANGES versions of one
 * namespace, each through the next daemon in rotation, and reads from the
 * daemons' logs when each daemon adopted it.
 *
 *	bench-config-spread NAMESPACES CHANGES COUNT...
 *
 * COMFREYDOCK_BUILD names the build folder with the programs. tools/measure
 * sets it and keeps the output.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define IN_FORCE_MS 30000
#define JOINED_MS 60000
#define IDLE_S 10
#define DOMAINS 4
#define CHANGED_NAMESPACE "t"

static const char *const domains[DOMAINS] = {"hall-esja", "hall-katla",
					     "hall-hekla", "hall-askja"};

struct bench {
	struct rig *rig;
	struct rig_process *platform;
	struct rig_process **daemons;
	unsigned int count;
	const char *key_file;
	uint64_t head;
	uint64_t version; /* of CHANGED_NAMESPACE */
	/* Of int64_t: from the apply request until each daemon adopted the
	 * change, and until the last daemon did. */
	GArray *adoption_us;
	GArray *last_adoption_us;
};

/* Sums over all daemons since their start. */
struct totals {
	int64_t gossip_bytes;
	int64_t config_bytes;
	int64_t platform_bytes;
	int64_t head_reads;
	int64_t object_reads;
	int64_t questions;
	int64_t links;
	int64_t cpu_ticks;
	int64_t rss_kb;
};

static void start_daemon(struct bench *bench, unsigned int i)
{
	char *name = g_strdup_printf("d%u", i);
	char *join = i ? g_strdup_printf(", \"join\": [\"127.0.0.1:%u\"]",
					 bench->daemons[0]->peer_port) :
			 g_strdup("");
	const char *path = rig_write_file(
		bench->rig, name,
		"{\"host\": \"d%u\", \"domain\": \"%s\",\n"
		"\"region\": \"reykjavik\", \"log_format\": \"json\",\n"
		"\"caller\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"admin\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"platform\": {\"url\": \"http://127.0.0.1:%u\"},\n"
		"\"peer\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
		" \"key_file\": \"%s\"%s}}\n",
		i, domains[i % DOMAINS], bench->platform->port, bench->key_file,
		join);

	bench->daemons[i] = rig_start_daemon(bench->rig, name, path);
	g_free(join);
	g_free(name);
}

static int64_t status_int(const struct rig_process *daemon, const char *name)
{
	char *json = rig_http_ok("GET", daemon->admin_port, "/v1/status", NULL);
	int64_t value = rig_json_int(json, name);

	g_free(json);
	return value;
}

static bool all_joined(void *data)
{
	const struct bench *bench = data;

	for (unsigned int i = 0; i < bench->count; i++) {
		if (status_int(bench->daemons[i], "hosts") !=
		    (int64_t)bench->count)
			return false;
	}
	return true;
}

static bool all_have_head(void *data)
{
	const struct bench *bench = data;

	for (unsigned int i = 0; i < bench->count; i++) {
		if (status_int(bench->daemons[i], "head") < (int64_t)bench->head)
			return false;
	}
	return true;
}

static int64_t counter(const char *text, const char *name)
{
	char *key = g_strdup_printf("\ncomfreydock_%s ", name);
	const char *found = strstr(text, key);
	int64_t value =
		found ? g_ascii_strtoll(found + strlen(key), NULL, 10) : 0;

	g_free(key);
	return value;
}

/* RETURN VALUE: a field of /proc/PID/stat by its number in proc(5), which must
 * be 3 or higher: the name in field 2 may contain spaces. */
static int64_t stat_field(pid_t pid, int number)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	int64_t value = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		char **fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);

		value = g_ascii_strtoll(fields[number - 3], NULL, 10);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return value;
}

static void add_daemon(struct totals *totals, const struct rig_process *daemon)
{
	char *text = rig_http_ok("GET", daemon->admin_port, "/metrics", NULL);

	totals->gossip_bytes += counter(text, "gossip_bytes_out");
	totals->config_bytes += counter(text, "config_bytes_out");
	totals->platform_bytes += counter(text, "config_platform_bytes");
	totals->head_reads += counter(text, "config_head_reads");
	totals->object_reads += counter(text, "config_object_reads");
	totals->questions += counter(text, "config_fetches");
	totals->links += counter(text, "peer_links_opened");
	totals->cpu_ticks +=
		stat_field(daemon->pid, 14) + stat_field(daemon->pid, 15);
	totals->rss_kb += stat_field(daemon->pid, 24) * 4;
	g_free(text);
}

static struct totals read_totals(const struct bench *bench)
{
	struct totals totals = {0};

	for (unsigned int i = 0; i < bench->count; i++)
		add_daemon(&totals, bench->daemons[i]);
	return totals;
}

static char *file_text(const char *name, uint64_t version)
{
	GString *text = g_string_new("{\"namespace\": ");

	g_string_append_printf(text, "\"%s\", \"services\": {", name);
	for (int i = 0; i < 8; i++)
		g_string_append_printf(
			text,
			"%s\"s%d\": {\"path_prefixes\": [\"/%s%d\"], "
			"\"group\": \"s\", \"rules\": [{\"name\": \"all\", "
			"\"deadline_ms\": %" G_GUINT64_FORMAT "}]}",
			i ? ", " : "", i, name, i, 1000 + version);
	g_string_append(text, "}}\n");
	return g_string_free(text, FALSE);
}

static int64_t line_time_us(const char *line)
{
	const char *time = strstr(line, "\"time\":\"") + strlen("\"time\":\"");
	char *text = g_strndup(time, strcspn(time, "\""));
	GDateTime *date = g_date_time_new_from_iso8601(text, NULL);
	int64_t us = g_date_time_to_unix(date) * G_USEC_PER_SEC +
		     g_date_time_get_microsecond(date);

	g_date_time_unref(date);
	g_free(text);
	return us;
}

/* RETURN VALUE: the time at which the daemon's log says that it adopted the
 * version, or 0. */
static int64_t adopted_us(const struct rig_process *daemon, uint64_t version)
{
	char *log = rig_read_log(daemon);
	char *wanted = g_strdup_printf("\"namespace\":\"" CHANGED_NAMESPACE
				       "\",\"version\":%" G_GUINT64_FORMAT,
				       version);
	char **lines = g_strsplit(log, "\n", -1);
	int64_t at_us = 0;

	for (char **line = lines; *line && !at_us; line++) {
		const char *found = strstr(*line, wanted);

		if (found && strstr(*line, "config.adopted") &&
		    !g_ascii_isdigit(found[strlen(wanted)]))
			at_us = line_time_us(*line);
	}
	g_strfreev(lines);
	g_free(wanted);
	g_free(log);
	return at_us;
}

static void record_adoption_times(struct bench *bench, int64_t sent_us)
{
	int64_t last_adoption_us = 0;

	for (unsigned int i = 0; i < bench->count; i++) {
		int64_t adoption_us =
			adopted_us(bench->daemons[i], bench->version) - sent_us;

		g_array_append_val(bench->adoption_us, adoption_us);
		last_adoption_us = MAX(last_adoption_us, adoption_us);
	}
	g_array_append_val(bench->last_adoption_us, last_adoption_us);
}

static void apply(struct bench *bench, const char *name, uint64_t base)
{
	char *text = file_text(name, base);
	char *path = g_strdup_printf(
		"/v1/config/apply?who=bench&base=%" G_GUINT64_FORMAT, base);
	unsigned int target = (unsigned int)bench->head % bench->count;

	g_free(rig_http_ok("POST", bench->daemons[target]->admin_port, path,
			   text));
	bench->head++;
	g_free(path);
	g_free(text);
}

static void wait_in_force(struct bench *bench)
{
	if (!rig_wait_until(all_have_head, bench, IN_FORCE_MS))
		g_error("not all daemons adopted the change within %d ms",
			IN_FORCE_MS);
}

static void change(struct bench *bench)
{
	int64_t sent_us = g_get_real_time();

	apply(bench, CHANGED_NAMESPACE, bench->version++);
	wait_in_force(bench);
	record_adoption_times(bench, sent_us);
}

static void apply_others(struct bench *bench, int count)
{
	for (int i = 0; i < count; i++) {
		char *name = g_strdup_printf("team-%04d", i);

		apply(bench, name, 0);
		g_free(name);
	}
	wait_in_force(bench);
}

static gint compare(gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static double quantile_ms(GArray *sorted, double share)
{
	guint i = (guint)((double)(sorted->len - 1) * share);

	return (double)g_array_index(sorted, int64_t, i) / 1000.0;
}

static void print_costs(const struct bench *bench, const struct totals *before,
			const struct totals *after, double seconds,
			const char *what)
{
	double n = bench->count;
	double ticks = (double)sysconf(_SC_CLK_TCK);

	printf("  %s, %.0f s: per daemon and second: gossip %.0f B out, "
	       "configuration %.0f B out, core %.2f%%; all daemons per second: "
	       "head reads %.1f, platform bytes %.0f, object reads %.1f, "
	       "questions %.1f, links opened %.1f\n",
	       what, seconds,
	       (double)(after->gossip_bytes - before->gossip_bytes) / n / seconds,
	       (double)(after->config_bytes - before->config_bytes) / n / seconds,
	       100.0 * (double)(after->cpu_ticks - before->cpu_ticks) / ticks /
		       n / seconds,
	       (double)(after->head_reads - before->head_reads) / seconds,
	       (double)(after->platform_bytes - before->platform_bytes) / seconds,
	       (double)(after->object_reads - before->object_reads) / seconds,
	       (double)(after->questions - before->questions) / seconds,
	       (double)(after->links - before->links) / seconds);
}

static void run_changes(struct bench *bench, int changes)
{
	struct totals before = read_totals(bench);
	int64_t began_us = g_get_monotonic_time();
	struct totals after;
	double seconds;

	for (int i = 0; i < changes; i++)
		change(bench);
	seconds = (double)(g_get_monotonic_time() - began_us) / 1e6;
	after = read_totals(bench);
	g_array_sort(bench->adoption_us, compare);
	g_array_sort(bench->last_adoption_us, compare);
	printf("%u daemons, %" G_GUINT64_FORMAT " namespaces, %d changes: "
	       "adopted by each after p50 %.0f ms, p99 %.0f "
	       "ms, "
	       "by all after p50 %.0f ms, max %.0f ms; resident %.1f MB each\n",
	       bench->count, bench->head - bench->version + 1, changes,
	       quantile_ms(bench->adoption_us, 0.5),
	       quantile_ms(bench->adoption_us, 0.99),
	       quantile_ms(bench->last_adoption_us, 0.5),
	       quantile_ms(bench->last_adoption_us, 1.0),
	       (double)after.rss_kb / 1024.0 / bench->count);
	print_costs(bench, &before, &after, seconds, "with changes");
}

static void measure_idle_costs(struct bench *bench)
{
	struct totals before = read_totals(bench);
	struct totals after;

	rig_sleep_ms(IDLE_S * 1000);
	after = read_totals(bench);
	print_costs(bench, &before, &after, IDLE_S, "idle");
}

static void run_with(unsigned int count, int namespaces, int changes)
{
	struct bench bench = {.count = count};

	bench.rig = rig_create();
	bench.daemons = g_new0(struct rig_process *, count);
	bench.adoption_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	bench.last_adoption_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	bench.key_file = rig_write_file(bench.rig, "key", "for the bench only");
	bench.platform = rig_start_standin(
		bench.rig, "standin/platform/standin-platform", NULL);
	for (unsigned int i = 0; i < count; i++)
		start_daemon(&bench, i);
	if (!rig_wait_until(all_joined, &bench, JOINED_MS))
		g_error("not all daemons joined within %d ms", JOINED_MS);
	apply_others(&bench, namespaces - 1);
	measure_idle_costs(&bench);
	run_changes(&bench, changes);
	fflush(stdout);
	g_array_unref(bench.last_adoption_us);
	g_array_unref(bench.adoption_us);
	g_free(bench.daemons);
	rig_destroy(bench.rig);
}

int main(int argc, char **argv)
{
	for (int i = 3; i < argc; i++)
		run_with((unsigned int)atoi(argv[i]), atoi(argv[1]),
			 atoi(argv[2]));
	return argc > 3 ? 0 : 2;
}
