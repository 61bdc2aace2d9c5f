/*
 * NAME
 *	process - processor time and memory of another process
 *
 * DESCRIPTION
 *	Reads the values from /proc. The resolution of the processor time is the
 *	kernel's clock tick, usually 10 ms, so only differences over several
 *	seconds are meaningful.
 */
#ifndef BENCH_PATH_PROCESS_H
#define BENCH_PATH_PROCESS_H

#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* RETURN VALUE: user and system time used so far, in microseconds. */
int64_t process_cpu_us(pid_t pid);

/* RETURN VALUE: a line of /proc/PID/status such as "VmHWM" or "VmRSS" in KiB,
 * or -1 if there is no such line. */
int64_t process_memory_kib(pid_t pid, const char *name);

/* Prints the kernel, the processor model and the number of processors. */
void process_print_machine(FILE *out);

#endif
