/*
 * NAME
 *	command - control requests from a test to the platform stand-in
 */
#ifndef STANDIN_PLATFORM_COMMAND_H
#define STANDIN_PLATFORM_COMMAND_H

#include "platform.h"

void command_compact(struct platform *platform, struct http_request *request);
void command_forget_watches(struct platform *platform,
			    struct http_request *request);
void command_restore(struct platform *platform, struct http_request *request);
void command_set_faults(struct platform *platform, struct http_request *request);
void command_show_history(struct platform *platform,
			  struct http_request *request);
void command_show_stats(struct platform *platform, struct http_request *request);

#endif
