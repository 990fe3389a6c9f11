/** @file
 * Lines on standard error: time, level, node, term, text. The only global of the project. */
#ifndef RP_BASE_LOG_H
#define RP_BASE_LOG_H

#include <stdint.h>

enum rp_log_level { RP_LOG_ERROR, RP_LOG_INFO, RP_LOG_DEBUG };

/** Level by name (`error`, `info`, `debug`); NULL or unknown means info. */
enum rp_log_level rp_log_level_named(const char *name);
void rp_log_setup(const char *node, enum rp_log_level level);
/** The term (token) printed with each line; 0 while this node does not lead. */
void rp_log_term(uint64_t term);
enum rp_log_level rp_log_current(void);
void rp_log(enum rp_log_level level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#define rp_error(...) rp_log(RP_LOG_ERROR, __VA_ARGS__)
#define rp_info(...) rp_log(RP_LOG_INFO, __VA_ARGS__)
#define rp_debug(...)                                                                              \
    do {                                                                                           \
        if (rp_log_current() >= RP_LOG_DEBUG)                                                      \
            rp_log(RP_LOG_DEBUG, __VA_ARGS__);                                                     \
    } while (0)

#endif
