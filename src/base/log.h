/** @file
 * Log lines on standard error: time, level, node, term, text. Owns the project's only global
 * variable: the node's name, its term and the log level. Called by all modules; initialized by
 * main.c.
 *
 * The text of a line is a fixed message followed by key=value pairs (docs/glossary.md). */
#ifndef RP_BASE_LOG_H
#define RP_BASE_LOG_H

#include <stdint.h>

/** Log levels. Setting one also enables all levels that precede it here. */
enum rp_log_level { RP_LOG_ERROR, RP_LOG_INFO, RP_LOG_DEBUG };

/** The level with this name (`error`, `info`, `debug`); info if the name is NULL or unknown. */
enum rp_log_level rp_log_level_named(const char *name);

/** Sets the node's name, which is copied, and the level. Before this call, log lines carry no name
 * and the level is info. */
void rp_log_setup(const char *node, enum rp_log_level level);

/** Sets the term (fencing token) that each log line carries; 0 while this node does not lead. */
void rp_log_set_term(uint64_t term);

/** The level set by rp_log_setup. */
enum rp_log_level rp_log_current_level(void);

/** Writes a log line if its level is enabled. A text longer than 1023 bytes is truncated. */
void rp_log(enum rp_log_level level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Logs a condition that operators should investigate. */
#define rp_error(...) rp_log(RP_LOG_ERROR, __VA_ARGS__)
/** Logs an event that operators need in order to follow what the cluster does. */
#define rp_info(...) rp_log(RP_LOG_INFO, __VA_ARGS__)
/** Logs details for developers; the arguments are not evaluated while the level is disabled. */
#define rp_debug(...)                                                                              \
    do {                                                                                           \
        if (rp_log_current_level() >= RP_LOG_DEBUG)                                                \
            rp_log(RP_LOG_DEBUG, __VA_ARGS__);                                                     \
    } while (0)

#endif
