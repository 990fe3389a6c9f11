#include "store/keys.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Precedes the number of a unit in its key, so that a node of format 1 does not read the key as
 * that of a chunk. */
#define UNIT_MARK 'u'

void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name) {
    snprintf(out, RP_KEY_MAX, "%s%s", prefix, name);
}

void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk) {
    snprintf(out, RP_KEY_MAX, "%s%s/%02u", RP_KEY_PROGRESS, job, chunk);
}

void rp_key_unit(char out[RP_KEY_MAX], const char *job, unsigned unit) {
    snprintf(out, RP_KEY_MAX, "%s%s/%c%02u", RP_KEY_PROGRESS, job, UNIT_MARK, unit);
}

void rp_key_part(char out[RP_KEY_MAX], const char *job, unsigned part) {
    snprintf(out, RP_KEY_MAX, "%s%s/%02u", RP_KEY_PART, job, part);
}

/* Splits "<prefix><job>/<rest>" and returns the rest; NULL when the key has another form. */
static const char *split_key(const char *key, const char *prefix, char job[RP_ID_MAX]) {
    size_t prefix_len = strlen(prefix);
    const char *slash = strrchr(key, '/');
    bool has_prefix = strncmp(key, prefix, prefix_len) == 0;
    if (!has_prefix || !slash || slash < key + prefix_len)
        return NULL;
    size_t job_len = (size_t)(slash - key) - prefix_len;
    if (job_len >= RP_ID_MAX)
        return NULL;
    memcpy(job, key + prefix_len, job_len);
    job[job_len] = '\0';
    return slash + 1;
}

/* Reads a decimal number; returns false unless `text` is one below `limit`. */
static bool read_number(const char *text, unsigned limit, unsigned *out) {
    char *end;
    if (!isdigit((unsigned char)*text))
        return false;
    unsigned long number = strtoul(text, &end, 10);
    *out = (unsigned)number;
    return !*end && number < limit;
}

bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *index, bool *is_unit) {
    const char *rest = split_key(key, RP_KEY_PROGRESS, job);
    if (!rest)
        return false;
    *is_unit = *rest == UNIT_MARK;
    return *is_unit ? read_number(rest + 1, RP_UNITS_MAX, index)
                    : read_number(rest, RP_CHUNKS_MAX, index);
}

bool rp_key_part_read(const char *key, char job[RP_ID_MAX], unsigned *part) {
    const char *rest = split_key(key, RP_KEY_PART, job);
    return rest && read_number(rest, RP_PARTS_MAX, part);
}
