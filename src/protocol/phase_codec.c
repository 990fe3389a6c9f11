#include "protocol/phase_codec.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"

/* Bytes of a record besides its list of jobs, rounded up. */
#define RECORD_FRAME_BYTES 96
/* Bytes of one job in the list: four numbers, the marks between them and a NUL. */
#define ENTRY_BYTES 72
/* Marks in the list: between two numbers of a job, after a job, and in place of the number of
 * running tasks if it is undetermined whether there is one. */
#define FIELD_MARK '.'
#define JOB_MARK ' '
#define UNDETERMINED_MARK '?'
/* Ids in the list have this form; a job with another id is left out. */
#define ID_FORMAT "j-%06llu"
#define NUMBER_BASE 36
/* Units of an age in the message, and in a record. */
#define MS_PER_S 1000.0
#define TENTHS_PER_S 10.0

static int compare_ids(const void *a, const void *b) {
    return strcmp(((const struct rp_job_status *)a)->id, ((const struct rp_job_status *)b)->id);
}

void rp_phase_snapshot_sort(struct rp_phase_snapshot *snapshot) {
    if (snapshot->n_jobs > 0)
        qsort(snapshot->jobs, snapshot->n_jobs, sizeof *snapshot->jobs, compare_ids);
}

void rp_phase_snapshot_find(const struct rp_phase_snapshot *snapshot,
                            struct rp_job_status *status) {
    const struct rp_job_status *found = NULL;
    if (snapshot->n_jobs > 0)
        found =
            bsearch(status, snapshot->jobs, snapshot->n_jobs, sizeof *snapshot->jobs, compare_ids);
    status->phase = snapshot->is_complete ? RP_JOB_QUEUED : RP_JOB_UNDETERMINED;
    status->done = status->running = 0;
    status->age_s = 0;
    if (found)
        *status = *found;
}

void rp_phase_snapshot_free(struct rp_phase_snapshot *snapshot) {
    free(snapshot->jobs);
    *snapshot = (struct rp_phase_snapshot){0};
}

static struct rp_job_status *append(struct rp_phase_snapshot *snapshot, const char *id) {
    snapshot->jobs = rp_realloc(snapshot->jobs, snapshot->n_jobs + 1, sizeof *snapshot->jobs);
    struct rp_job_status *status = &snapshot->jobs[snapshot->n_jobs++];
    *status = (struct rp_job_status){.phase = RP_JOB_QUEUED};
    rp_string_copy(status->id, sizeof status->id, id);
    return status;
}

/* ---- the message between nodes ---- */

char *rp_phase_codec_write(const char *node, const struct rp_phase_snapshot *snapshot) {
    json_t *jobs = json_object();
    json_t *unknown = json_array();
    for (size_t i = 0; i < snapshot->n_jobs; i++) {
        const struct rp_job_status *status = &snapshot->jobs[i];
        json_object_set_new(jobs, status->id,
                            json_pack("[i,i,i]", (int)status->done, (int)status->running,
                                      (int)ceil(status->age_s * MS_PER_S)));
        if (status->phase == RP_JOB_UNDETERMINED)
            json_array_append_new(unknown, json_string(status->id));
    }
    return rp_codec_write(
        json_pack("{s:s,s:o,s:o}", "node", node, "jobs", jobs, "unknown", unknown));
}

/* Reads [done, running, age in ms] of each job; earlier versions do not send the age. */
static void read_counts(const json_t *jobs, struct rp_phase_snapshot *out) {
    const char *id;
    json_t *pair;
    json_object_foreach((json_t *)jobs, id, pair) {
        if (!rp_job_codec_is_id(id))
            continue;
        struct rp_job_status *status = append(out, id);
        status->done = (uint32_t)json_integer_value(json_array_get(pair, 0));
        status->running = (uint32_t)json_integer_value(json_array_get(pair, 1));
        status->phase = status->running > 0 ? RP_JOB_RUNNING : RP_JOB_QUEUED;
        status->age_s = json_number_value(json_array_get(pair, 2)) / MS_PER_S;
    }
}

bool rp_phase_codec_parse(const char *text, size_t len, struct rp_phase_snapshot *out) {
    json_t *body = rp_codec_parse_object(text, len);
    const json_t *jobs = json_object_get(body, "jobs");
    const json_t *id;
    size_t i;
    *out = (struct rp_phase_snapshot){.is_complete = true};
    bool is_ok = json_is_object(jobs);
    if (is_ok)
        read_counts(jobs, out);
    rp_phase_snapshot_sort(out);
    json_array_foreach(json_object_get(body, "unknown"), i, id) {
        struct rp_job_status key = {0};
        if (!json_is_string(id) ||
            !rp_string_try_copy(key.id, sizeof key.id, json_string_value(id)) || out->n_jobs == 0)
            continue;
        struct rp_job_status *status =
            bsearch(&key, out->jobs, out->n_jobs, sizeof *out->jobs, compare_ids);
        if (status)
            status->phase = RP_JOB_UNDETERMINED;
    }
    json_decref(body);
    return is_ok;
}

/* ---- the records ---- */

/* Writes a number in base 36; returns its length. */
static size_t write_number(char *out, unsigned long long number) {
    static const char digits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
    char reversed[ENTRY_BYTES];
    size_t n = 0;
    do {
        reversed[n++] = digits[number % NUMBER_BASE];
        number /= NUMBER_BASE;
    } while (number > 0);
    for (size_t i = 0; i < n; i++)
        out[i] = reversed[n - 1 - i];
    return n;
}

/* The number of an id of the usual form; false for another id. */
static bool read_id_number(const char *id, unsigned long long *number) {
    char written[RP_ID_MAX];
    *number = strtoull(id + strcspn(id, "0123456789"), NULL, 10);
    snprintf(written, sizeof written, ID_FORMAT, *number);
    return strcmp(written, id) == 0;
}

/* Writes a job: the difference of its number to the one before, the tasks that run and those that
 * are done, and the age. Returns its length. */
static size_t write_entry(char entry[ENTRY_BYTES], const struct rp_job_status *status,
                          unsigned long long difference) {
    size_t n = write_number(entry, difference);
    entry[n++] = FIELD_MARK;
    if (status->phase == RP_JOB_UNDETERMINED)
        entry[n++] = UNDETERMINED_MARK;
    else
        n += write_number(entry + n, status->running);
    entry[n++] = FIELD_MARK;
    n += write_number(entry + n, status->done);
    entry[n++] = FIELD_MARK;
    n += write_number(entry + n, (unsigned long long)ceil(status->age_s * TENTHS_PER_S));
    entry[n++] = JOB_MARK;
    return n;
}

/* Writes a list of the jobs from `*next` on, as many as fit. Returns its length. */
static size_t write_list(const struct rp_phase_snapshot *snapshot, size_t *next, char *list,
                         size_t capacity, bool *has_left_out) {
    char entry[ENTRY_BYTES];
    unsigned long long last = 0;
    unsigned long long number;
    size_t len = 0;
    for (; *next < snapshot->n_jobs; (*next)++) {
        const struct rp_job_status *status = &snapshot->jobs[*next];
        if (!read_id_number(status->id, &number) || number < last) {
            *has_left_out = true;
            continue;
        }
        size_t n = write_entry(entry, status, number - last);
        if (len + n > capacity)
            break;
        memcpy(list + len, entry, n);
        len += n;
        last = number;
    }
    return len;
}

size_t rp_phase_codec_write_records(const struct rp_phase_snapshot *snapshot, struct timespec as_of,
                                    size_t max_bytes, json_t **records, size_t n_max) {
    size_t capacity = max_bytes > RECORD_FRAME_BYTES ? max_bytes - RECORD_FRAME_BYTES : 0;
    char *list = rp_alloc(capacity + 1, 1);
    bool has_left_out = !snapshot->is_complete;
    size_t next = 0;
    size_t n = 0;
    do {
        size_t len = write_list(snapshot, &next, list, capacity, &has_left_out);
        records[n++] = json_pack("{s:f,s:s%}", "at", rp_ts_s(as_of), "jobs", list, len);
    } while (next < snapshot->n_jobs && n < n_max);
    has_left_out |= next < snapshot->n_jobs;
    for (size_t i = 0; i < n; i++) {
        json_object_set_new(records[i], "records", json_integer((json_int_t)n));
        json_object_set_new(records[i], "complete", json_boolean(!has_left_out));
    }
    free(list);
    return n;
}

/* Reads a number and the mark after it; returns what follows, or NULL if it is malformed. */
static const char *read_number(const char *text, char mark, unsigned long long *number) {
    char *end;
    if (!text || strchr("+- ", *text))
        return NULL;
    *number = strtoull(text, &end, NUMBER_BASE);
    return end == text || *end != mark ? NULL : end + 1;
}

/* Reads the job at `text`; returns what follows it, or NULL if it is malformed. */
static const char *read_entry(const char *text, unsigned long long *last,
                              struct rp_phase_snapshot *out) {
    static const char undetermined[] = {UNDETERMINED_MARK, FIELD_MARK, '\0'};
    char id[RP_ID_MAX];
    unsigned long long difference;
    unsigned long long running = 0;
    unsigned long long done;
    unsigned long long age;
    text = read_number(text, FIELD_MARK, &difference);
    bool is_undetermined = text && strncmp(text, undetermined, strlen(undetermined)) == 0;
    text = is_undetermined ? text + strlen(undetermined) : read_number(text, FIELD_MARK, &running);
    text = read_number(text, FIELD_MARK, &done);
    text = read_number(text, JOB_MARK, &age);
    if (!text)
        return NULL;
    *last += difference;
    snprintf(id, sizeof id, ID_FORMAT, *last);
    struct rp_job_status *status = append(out, id);
    if (is_undetermined)
        status->phase = RP_JOB_UNDETERMINED;
    else if (running > 0)
        status->phase = RP_JOB_RUNNING;
    status->running = (uint32_t)running;
    status->done = (uint32_t)done;
    status->age_s = (double)age / TENTHS_PER_S;
    return text;
}

bool rp_phase_codec_read_record(const json_t *record, size_t n_records,
                                struct rp_phase_snapshot *out, struct timespec *as_of) {
    const char *text = json_string_value(json_object_get(record, "jobs"));
    json_int_t n_written = json_integer_value(json_object_get(record, "records"));
    unsigned long long last = 0;
    out->is_complete = json_is_true(json_object_get(record, "complete"));
    *as_of = rp_ts(json_number_value(json_object_get(record, "at")));
    while (text && *text)
        text = read_entry(text, &last, out);
    return text != NULL && n_written == (json_int_t)n_records;
}
