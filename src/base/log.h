/** @file
 * Log lines on standard error: time, level, node, term, text. Owns the only global of the project:
 * the node's name, its term and the level. Called by all modules; main.c sets it up.
 *
 * A line's text is a fixed message, then key=value pairs (docs/glossary.md). */
#ifndef RP_BASE_LOG_H
#define RP_BASE_LOG_H

#include <stdint.h>

/** How much is logged: each level with those before it. */
enum rp_log_level { RP_LOG_ERROR, RP_LOG_INFO, RP_LOG_DEBUG };

/** Level by name (`error`, `info`, `debug`); NULL or unknown means info. */
enum rp_log_level rp_log_level_named(const char *name);

/** Sets the node's name, which is copied, and the level. Before it, lines have no name and the
 * level is info. */
void rp_log_setup(const char *node, enum rp_log_level level);

/** Sets the term (fencing token) that each line carries; 0 while this node doesn't lead. */
void rp_log_set_term(uint64_t term);

/** The level that was set up. */
enum rp_log_level rp_log_current_level(void);

/** Writes a line if its level is logged. A text beyond 1023 bytes is cut. */
void rp_log(enum rp_log_level level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Something that the operators should look at. */
#define rp_error(...) rp_log(RP_LOG_ERROR, __VA_ARGS__)
/** What an operator needs for following what the cluster does. */
#define rp_info(...) rp_log(RP_LOG_INFO, __VA_ARGS__)
/** Details for those who work on the program; arguments are not evaluated while it is off. */
#define rp_debug(...)                                                                              \
    do {                                                                                           \
        if (rp_log_current_level() >= RP_LOG_DEBUG)                                                \
            rp_log(RP_LOG_DEBUG, __VA_ARGS__);                                                     \
    } while (0)

#endif
