#include "relay.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/http_server.h"
#include "common/log.h"
#include "standin.h"

#define PORT_TRIES 20

int relay_bind(int type, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int reuse = type == SOCK_STREAM && port != 0;

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

uint16_t relay_port_of(int fd)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);

	getsockname(fd, (struct sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}

/* Tries again if the port that the kernel chose for TCP is in use for UDP. */
static bool bind_pair(uint16_t port, int *tcp, int *udp)
{
	for (int i = 0; i < PORT_TRIES; i++) {
		*tcp = relay_bind(SOCK_STREAM, port);
		if (*tcp < 0)
			return false;
		*udp = relay_bind(SOCK_DGRAM, relay_port_of(*tcp));
		if (*udp >= 0)
			return true;
		close(*tcp);
	}
	return false;
}

static void apply_lose_from(struct relay *relay, struct json_object *ports)
{
	if (!json_object_is_type(ports, json_type_array))
		return;
	g_array_set_size(relay->lose_from, 0);
	for (size_t i = 0; i < json_object_array_length(ports); i++) {
		uint16_t port = (uint16_t)json_object_get_int(
			json_object_array_get_idx(ports, i));

		g_array_append_val(relay->lose_from, port);
	}
}

static void apply_silence(struct relay *relay, struct json_object *silence)
{
	if (!silence)
		return;
	if (json_object_get_boolean(silence))
		tcp_silence(relay);
	else
		tcp_reset_silent(relay);
}

static void apply_command(struct relay *relay, struct json_object *command)
{
	standin_read_bool(command, "cut", &relay->cut);
	standin_read_bool(command, "hold_forward", &relay->hold[FORWARD]);
	standin_read_bool(command, "hold_backward", &relay->hold[BACKWARD]);
	standin_read_int(command, "delay_ms", &relay->delay_ms);
	standin_read_double(command, "lose_share", &relay->lose_share);
	apply_lose_from(relay, json_object_object_get(command, "lose_from"));
	apply_silence(relay, json_object_object_get(command, "silence"));
	tcp_apply(relay);
}

static void reply_stats(struct relay *relay, struct http_request *request)
{
	char *text = g_strdup_printf(
		"{\"connections\":%" G_GUINT64_FORMAT
		",\"bytes_forward\":%" G_GUINT64_FORMAT
		",\"bytes_backward\":%" G_GUINT64_FORMAT
		",\"datagrams_forward\":%" G_GUINT64_FORMAT
		",\"datagrams_backward\":%" G_GUINT64_FORMAT "}",
		relay->connections, relay->bytes[FORWARD], relay->bytes[BACKWARD],
		relay->datagrams[FORWARD], relay->datagrams[BACKWARD]);

	http_request_reply_text(request, 200, "application/json", text);
	g_free(text);
}

static void handle_request(struct http_request *request, void *data)
{
	struct relay *relay = data;
	struct json_object *command =
		standin_parse_body(http_request_body(request));

	if (strcmp(http_request_path(request), "/stats") == 0) {
		reply_stats(relay, request);
	} else if (command) {
		apply_command(relay, command);
		http_request_reply_text(request, 200, "application/json", "{}");
	} else {
		http_request_reply_text(request, 400, "application/json", "{}");
	}
	json_object_put(command);
}

static bool parse_target(const char *text, struct sockaddr_in *target)
{
	char **parts = g_strsplit(text ? text : "", ":", 2);
	bool ok = parts[0] && parts[1] &&
		  inet_pton(AF_INET, parts[0], &target->sin_addr) == 1;

	target->sin_family = AF_INET;
	if (ok)
		target->sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
	g_strfreev(parts);
	return ok;
}

static int relay_run(struct relay *relay, uint16_t port)
{
	struct http_server_options options = {.address = "127.0.0.1"};
	struct http_server *control =
		http_server_create(relay->loop, &options, handle_request, relay);
	int tcp;
	int udp;

	if (!control || !bind_pair(port, &tcp, &udp)) {
		perror("relay");
		http_server_destroy(control);
		return 1;
	}
	tcp_start(relay, tcp);
	udp_start(relay, udp);
	standin_on_stop(relay->loop, NULL, NULL);
	printf("{\"program\":\"relay\",\"port\":%u,\"control_port\":%u}\n",
	       relay_port_of(tcp), http_server_port(control));
	fflush(stdout);
	ev_run(relay->loop, 0);
	tcp_finish(relay);
	udp_finish(relay);
	http_server_destroy(control);
	return 0;
}

int main(int argc, char **argv)
{
	static char *target;
	static int port;
	static const GOptionEntry entries[] = {
		{"target", 0, 0, G_OPTION_ARG_STRING, &target,
		 "address to forward to", "IP:PORT"},
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "port; 0: any", "N"},
		{0},
	};
	struct relay relay = {.loop = ev_default_loop(0)};
	int result = 2;

	standin_parse_options(&argc, &argv, entries,
			      "A fault-injecting relay for tests.");
	log_init(LOG_FORMAT_JSON, "relay");
	relay.random = g_rand_new_with_seed(1);
	relay.lose_from = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	if (parse_target(target, &relay.target))
		result = relay_run(&relay, (uint16_t)port);
	else
		fprintf(stderr, "relay: --target IP:PORT is required\n");
	g_rand_free(relay.random);
	g_array_free(relay.lose_from, TRUE);
	g_free(target);
	return result;
}
