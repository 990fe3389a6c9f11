#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static struct {
    char node[64];
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

void rp_log_term(uint64_t term) {
    g_log.term = term;
}

enum rp_log_level rp_log_current(void) {
    return g_log.level;
}

void rp_log(enum rp_log_level level, const char *fmt, ...) {
    static const char *const names[] = {"error", "info", "debug"};
    if (level > g_log.level)
        return;
    char text[1024];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    struct timespec now;
    struct tm tm;
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &tm);
    char stamp[32];
    strftime(stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
    fprintf(stderr, "%s.%03ldZ %s node=%s term=%llu %s\n", stamp, now.tv_nsec / 1000000,
            names[level], g_log.node, (unsigned long long)g_log.term, text);
}
