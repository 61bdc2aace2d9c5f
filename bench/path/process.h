/*
 * NAME
 *	process - processor time and memory of another process
 *
 * DESCRIPTION
 *	Read from /proc. Processor time has the kernel's ticks as its unit,
 *	mostly 10 ms, so only differences over some seconds say anything.
 */
#ifndef BENCH_PATH_PROCESS_H
#define BENCH_PATH_PROCESS_H

#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* User and system time so far, in microseconds. */
int64_t process_cpu_us(pid_t pid);

/* A line of /proc/PID/status such as "VmHWM" or "VmRSS", in KiB. */
int64_t process_memory_kib(pid_t pid, const char *name);

/* Prints kernel, processor and the count of processors. */
void process_print_machine(FILE *out);

#endif
