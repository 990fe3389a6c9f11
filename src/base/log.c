#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Bytes of the node's name, with its NUL. Equals RP_NAME_MAX of config/settings.h, which this lower
 * layer cannot include. */
#define NODE_NAME_BYTES 64
/* Bytes of a line's text, with its NUL; a longer text is truncated. */
#define TEXT_BYTES 1024
/* Bytes of a line's time up to its seconds, with its NUL. */
#define TIME_BYTES 32
#define NS_PER_MS 1000000

static struct {
    char node[NODE_NAME_BYTES];
    uint64_t term;
    enum rp_log_level level;
} g_log = {.level = RP_LOG_INFO};

enum rp_log_level rp_log_level_named(const char *name) {
    if (name && strcmp(name, "error") == 0)
        return RP_LOG_ERROR;
    if (name && strcmp(name, "debug") == 0)
        return RP_LOG_DEBUG;
    return RP_LOG_INFO;
}

void rp_log_setup(const char *node, enum rp_log_level level) {
    snprintf(g_log.node, sizeof g_log.node, "%s", node);
    g_log.level = level;
}

void rp_log_set_term(uint64_t term) {
    g_log.term = term;
}

enum rp_log_level rp_log_current_level(void) {
    return g_log.level;
}

void rp_log(enum rp_log_level level, const char *format, ...) {
    static const char *const level_names[] = {
        [RP_LOG_ERROR] = "error", [RP_LOG_INFO] = "info", [RP_LOG_DEBUG] = "debug"};
    char text[TEXT_BYTES];
    char stamp[TIME_BYTES];
    struct timespec now;
    struct tm utc;
    va_list ap;
    if (level > g_log.level)
        return;
    va_start(ap, format);
    vsnprintf(text, sizeof text, format, ap);
    va_end(ap);
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
    fprintf(stderr, "%s.%03ldZ %s node=%s term=%llu %s\n", stamp, now.tv_nsec / NS_PER_MS,
            level_names[level], g_log.node, (unsigned long long)g_log.term, text);
}
