/*
 * NAME
 *	config_apply - puts one operator's file in force, or reports why not
 *
 * DESCRIPTION
 *	Checks the file, puts its body in the object store under its hash, and
 *	then writes the namespace row and the head row in one conditional
 *	transaction. The namespace row must still be at the version that the
 *	operator saw. If only the head has changed, another team applied at the
 *	same time, and the transaction is retried on the new head.
 *
 *	A transaction can take effect although its answer is lost, even some
 *	time after the apply stopped waiting for the answer. Only reading the
 *	row again shows whether it did. Each write carries the id of the apply,
 *	and a retried transaction carries the same id and the same base, so it
 *	can't take effect twice.
 */
#ifndef COMFREYDOCKD_CONFIG_APPLY_H
#define COMFREYDOCKD_CONFIG_APPLY_H

#include "comfreydockd/config/rows.h"
#include "common/findings.h"

enum config_platform_status {
	CONFIG_PLATFORM_OK,
	CONFIG_PLATFORM_CONFLICT, /* a condition failed; nothing was written */
	CONFIG_PLATFORM_UNAVAILABLE, /* certainly nothing was written */
	CONFIG_PLATFORM_UNKNOWN, /* the answer was lost */
};

#define CONFIG_ANY_VERSION UINT64_MAX

/* One row of a transaction. */
struct config_write {
	const char *key;
	/* The version that the row must have. 0: the row must be absent;
	 * CONFIG_ANY_VERSION: no condition. */
	uint64_t row_version;
	const char *value;
};

/* value is NULL with CONFIG_PLATFORM_OK if the row or object is absent. The
 * platform owns it; it is valid during the call, and a 0 byte follows its
 * size. */
typedef void (*config_get_handler)(enum config_platform_status status,
				   uint64_t row_version, const char *value,
				   size_t size, void *data);
typedef void (*config_done_handler)(enum config_platform_status status,
				    void *data);

/*
 * The platform functions that an apply uses. Each call ends with exactly one
 * call of its handler, after the call has returned and within a time limit that
 * the platform sets. Arguments are copied. A get changes nothing, so
 * UNAVAILABLE and UNKNOWN mean the same for it.
 */
struct config_platform_ops {
	void (*get)(void *platform, const char *key, config_get_handler handler,
		    void *data);
	void (*transact)(void *platform, const struct config_write *writes,
			 size_t count, config_done_handler handler, void *data);
	void (*put_object)(void *platform, const char *key, const char *body,
			   size_t size, config_done_handler handler, void *data);
	void (*get_object)(void *platform, const char *key,
			   config_get_handler handler, void *data);
	/* Calls the handler from the loop after a delay. */
	void (*wait)(void *platform, uint32_t ms, void (*handler)(void *data),
		     void *data);
};

enum config_apply_result {
	CONFIG_APPLY_IN_FORCE,
	CONFIG_APPLY_REFUSED, /* see findings; nothing was changed */
	CONFIG_APPLY_CONFLICT, /* another operator's version is in force */
	CONFIG_APPLY_UNKNOWN, /* applying the same file again tells */
};

const char *config_apply_result_name(enum config_apply_result result);

struct config_apply_request {
	const char *file; /* named in findings */
	const char *body;
	uint64_t base; /* the version that the operator saw; 0: none yet */
	const char *who;
	uint32_t timeout_ms; /* 0: 10000 */
	/* The snapshot held here, or NULL. The file is checked against it, and
	 * version numbers continue from it if the platform's store was restored
	 * to an older state. */
	const struct config_snapshot *current;
	uint64_t known_head; /* the highest head that this daemon has heard of */
};

struct config_apply_outcome {
	enum config_apply_result result;
	const char *name; /* of the namespace; NULL if the file has none */
	const char *sha256; /* of the file's body */
	const char *body;
	uint64_t version; /* the one in force, of the file or of the winner */
	uint64_t base;
	uint64_t head; /* that the apply wrote, over all namespaces; 0: not known */
	const char *winner; /* CONFLICT: who applied the version in force */
	/* CONFLICT: the file was in force as base + 1 and was then replaced. */
	bool was_in_force;
	const struct findings *findings;
};

struct config_apply;

/* Called once, from the loop or before config_apply_start() returns. */
typedef void (*config_apply_handler)(const struct config_apply_outcome *outcome,
				     void *data);

void config_apply_start(const struct config_platform_ops *ops, void *platform,
			const struct config_apply_request *request,
			config_apply_handler handler, void *data);

#endif
