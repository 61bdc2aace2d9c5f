/*
 * A caller reads a long response slowly while other callers make short calls.
 * Measures the effect of the flow-control window of each response. Without it,
 * the daemons would read the response as fast as the upstream writes, and
 * buffer in memory what the caller has not read. Short responses on the same
 * connection would wait behind it (head-of-line blocking).
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "raw.h"

#define ANSWER_BYTES 200000000
#define SLOW_BYTES_PER_S 20000000
#define READ_BYTES 65536
#define SHORT_RATE 300
#define SHORT_SECONDS 8
#define LIMIT_KIB (64 * 1024)

struct slow_caller {
	uint16_t port;
	size_t received;
	bool is_complete;
};

static int open_stream(uint16_t port, GString *head)
{
	char *request = g_strdup_printf("GET /bytes/%d HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: stream\r\n"
					"Connection: close\r\n\r\n",
					ANSWER_BYTES);
	int fd = raw_connect(port);

	raw_send_text(fd, request);
	g_free(request);
	if (!raw_read_until_found(fd, head, "\r\n\r\n", 1, 10000))
		g_error("no response to the long call");
	return fd;
}

/* The body must repeat the request's id throughout. */
static bool bytes_match_id(const char *bytes, size_t size, size_t position)
{
	static const char id[] = "stream";

	for (size_t i = 0; i < size; i++) {
		if (bytes[i] != id[(position + i) % strlen(id)])
			return false;
	}
	return true;
}

static bool check_part(struct slow_caller *caller, const char *bytes, size_t size)
{
	bool own = bytes_match_id(bytes, size, caller->received);

	caller->received += size;
	return own;
}

/* Thread function that runs while the short calls are made. */
static void *read_slowly(void *data)
{
	struct slow_caller *caller = data;
	GString *head = g_string_new(NULL);
	int fd = open_stream(caller->port, head);
	gint64 began_us = g_get_monotonic_time();
	const char *body = strstr(head->str, "\r\n\r\n") + 4;
	bool own =
		check_part(caller, body, head->len - (size_t)(body - head->str));
	char *block = g_malloc(READ_BYTES);
	ssize_t got;

	while ((got = read(fd, block, READ_BYTES)) > 0) {
		gint64 due_us;

		own &= check_part(caller, block, (size_t)got);
		due_us = began_us + (gint64)((double)caller->received * 1e6 /
					     SLOW_BYTES_PER_S);
		if (due_us > g_get_monotonic_time())
			g_usleep((gulong)(due_us - g_get_monotonic_time()));
	}
	caller->is_complete = own && caller->received == ANSWER_BYTES;
	close(fd);
	g_free(block);
	g_string_free(head, TRUE);
	return NULL;
}

static void print_short(const char *name, struct bench_result *result)
{
	printf("short calls %s: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
	       " served, p50 %" G_GINT64_FORMAT " us, p99 %" G_GINT64_FORMAT
	       " us, p99.9 %" G_GINT64_FORMAT " us\n",
	       name, result->served, result->scheduled,
	       bench_quantile_us(result, 0.5), bench_quantile_us(result, 0.99),
	       bench_quantile_us(result, 0.999));
}

static int64_t print_memory(struct cluster *cluster, const char *when)
{
	static const char *const names[] = {"entry", "owner"};
	int64_t most = 0;

	printf("%s:", when);
	for (int i = 0; i <= BENCH_OWNER; i++) {
		int64_t kib =
			process_memory_kib(cluster->daemons[i]->pid, "VmHWM");

		printf(" %s VmHWM %" G_GINT64_FORMAT " KiB", names[i], kib);
		most = MAX(most, kib);
	}
	printf("\n");
	return most;
}

static void run_short(struct cluster *cluster, const char *name)
{
	struct bench_load load = {
		.generators = 1,
		.rate = SHORT_RATE,
		.seconds = SHORT_SECONDS,
		.seed = 1,
	};
	struct bench_result result;

	bench_result_init(&result);
	bench_run(cluster, &load, &result);
	print_short(name, &result);
	bench_result_finish(&result);
}

int main(void)
{
	struct cluster cluster;
	struct slow_caller caller = {0};
	GThread *thread;
	int64_t most;

	bench_print_head("bench/streaming");
	printf("response of %d bytes, read at %d bytes/s; %d short calls/s of "
	       "1 ms"
	       " for %d s\n",
	       ANSWER_BYTES, SLOW_BYTES_PER_S, SHORT_RATE, SHORT_SECONDS);
	bench_start(&cluster, 1, "12", "1000");
	run_short(&cluster, "without the stream");
	print_memory(&cluster, "before the stream");
	caller.port = cluster.daemons[BENCH_ENTRY]->caller_port;
	thread = g_thread_new("slow", read_slowly, &caller);
	rig_sleep_ms(500);
	run_short(&cluster, "beside the stream");
	g_thread_join(thread);
	most = print_memory(&cluster, "after the stream");
	printf("long response: %zu bytes, %s\n", caller.received,
	       caller.is_complete ? "complete and correct" :
				    "INCOMPLETE OR INCORRECT");
	printf("memory limit of %d KiB: %s\n", LIMIT_KIB,
	       most <= LIMIT_KIB ? "kept" : "EXCEEDED");
	cluster_stop(&cluster);
	return caller.is_complete && most <= LIMIT_KIB ? 0 : 1;
}
