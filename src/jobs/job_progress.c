#include "jobs/job_progress.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

/* Seconds without writes of a job's progress after the store has refused one as too large. */
#define REFUSED_BACKOFF_S 5.0

static size_t bit_set_bytes(const struct rp_job_progress *progress) {
    return (progress->n_tasks + 7) / 8;
}

static size_t n_chunks(const struct rp_job_progress *progress) {
    return (progress->n_tasks + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS;
}

static size_t n_units(const struct rp_job_progress *progress) {
    return (progress->n_tasks + RP_UNIT_TASKS - 1) / RP_UNIT_TASKS;
}

static size_t record_span_bytes(struct rp_progress_record record) {
    return record.is_unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES;
}

void rp_progress_record_key(char key[RP_KEY_MAX], const char *job_id,
                            struct rp_progress_record record) {
    if (record.is_unit)
        rp_key_unit(key, job_id, record.index);
    else
        rp_key_progress(key, job_id, record.index);
}

bool rp_progress_record_read_key(const char *key, char job_id[RP_ID_MAX],
                                 struct rp_progress_record *record) {
    return rp_key_progress_read(key, job_id, &record->index, &record->is_unit);
}

struct rp_stored_records rp_progress_record_as_set(struct rp_progress_record record) {
    struct rp_stored_records records = {0};
    uint64_t set = UINT64_C(1) << record.index;
    if (record.is_unit)
        records.units = set;
    else
        records.chunks = set;
    return records;
}

size_t rp_progress_record_offset(struct rp_progress_record record) {
    return record.index * record_span_bytes(record);
}

void rp_job_progress_init(struct rp_job_progress *progress, uint32_t n_tasks) {
    *progress = (struct rp_job_progress){.n_tasks = n_tasks};
    progress->revisions =
        rp_alloc(n_chunks(progress) + n_units(progress), sizeof *progress->revisions);
}

void rp_job_progress_free(struct rp_job_progress *progress) {
    free(progress->revisions);
    free(progress->done);
    free(progress->durable);
}

/* Creates the bit set if it is empty. */
static uint8_t *ensure_bits(const struct rp_job_progress *progress, uint8_t **bits) {
    if (!*bits)
        *bits = rp_alloc(1, bit_set_bytes(progress));
    return *bits;
}

uint8_t *rp_job_progress_durable_bits(struct rp_job_progress *progress) {
    return ensure_bits(progress, &progress->durable);
}

size_t rp_job_progress_record_bytes(const struct rp_job_progress *progress,
                                    struct rp_progress_record record) {
    size_t offset = rp_progress_record_offset(record);
    size_t n_bytes = bit_set_bytes(progress);
    size_t span = record_span_bytes(record);
    if (offset >= n_bytes)
        return 0;
    return n_bytes - offset < span ? n_bytes - offset : span;
}

bool rp_job_progress_mark_done(struct rp_job_progress *progress, uint32_t task,
                               struct timespec now) {
    if (rp_job_progress_is_done(progress, task))
        return false;
    ensure_bits(progress, &progress->done)[task / 8] |= (uint8_t)(1u << (task % 8));
    if (!progress->dirty_units)
        progress->dirty_since = now;
    struct rp_progress_record unit = {.index = task / RP_UNIT_TASKS, .is_unit = true};
    rp_job_progress_apply(progress, unit, RP_PROGRESS_TASK_DONE);
    return true;
}

uint32_t rp_job_progress_restore(struct rp_job_progress *progress) {
    size_t n_bytes = bit_set_bytes(progress);
    uint32_t n_done = 0;
    if (!progress->durable)
        return 0;
    /* A damaged record may have bits beyond the last task. */
    if (progress->n_tasks % 8 != 0)
        progress->durable[n_bytes - 1] &= (uint8_t)((1u << progress->n_tasks % 8) - 1);
    memcpy(ensure_bits(progress, &progress->done), progress->durable, n_bytes);
    for (size_t i = 0; i < n_bytes; i++)
        n_done += (uint32_t)__builtin_popcount(progress->done[i]);
    return n_done;
}

static enum rp_progress_unit_state unit_state(const struct rp_job_progress *progress,
                                              unsigned unit) {
    bool is_dirty = progress->dirty_units >> unit & 1;
    if (progress->in_flight_units >> unit & 1)
        return is_dirty ? RP_PROGRESS_IN_FLIGHT_DIRTY : RP_PROGRESS_IN_FLIGHT;
    return is_dirty ? RP_PROGRESS_DIRTY : RP_PROGRESS_CLEAN;
}

/* The only function that changes the state of a unit. */
static void set_unit_state(struct rp_job_progress *progress, unsigned unit,
                           enum rp_progress_unit_state state) {
    uint64_t bit = UINT64_C(1) << unit;
    bool is_dirty = state == RP_PROGRESS_DIRTY || state == RP_PROGRESS_IN_FLIGHT_DIRTY;
    bool is_in_flight = state == RP_PROGRESS_IN_FLIGHT || state == RP_PROGRESS_IN_FLIGHT_DIRTY;
    progress->dirty_units = is_dirty ? progress->dirty_units | bit : progress->dirty_units & ~bit;
    progress->in_flight_units =
        is_in_flight ? progress->in_flight_units | bit : progress->in_flight_units & ~bit;
}

static enum rp_progress_unit_state next_state(enum rp_progress_unit_state state,
                                              enum rp_progress_event event) {
    bool is_dirty = state == RP_PROGRESS_DIRTY || state == RP_PROGRESS_IN_FLIGHT_DIRTY;
    bool is_in_flight = state == RP_PROGRESS_IN_FLIGHT || state == RP_PROGRESS_IN_FLIGHT_DIRTY;
    switch (event) {
    case RP_PROGRESS_TASK_DONE: /* a request in flight was sent without the task */
        return is_in_flight ? RP_PROGRESS_IN_FLIGHT_DIRTY : RP_PROGRESS_DIRTY;
    case RP_PROGRESS_WRITE_SENT: /* the write carries all done tasks; a write of a chunk also covers
                                    its clean units */
        return RP_PROGRESS_IN_FLIGHT;
    case RP_PROGRESS_READ_SENT: /* the read carries no tasks; no write is sent before the revision
                                   has been read */
        return is_dirty ? RP_PROGRESS_IN_FLIGHT_DIRTY : RP_PROGRESS_IN_FLIGHT;
    case RP_PROGRESS_WRITE_SUCCEEDED: /* tasks that the write did not carry remain to be written */
    case RP_PROGRESS_READ_RETURNED:
        return is_dirty ? RP_PROGRESS_DIRTY : RP_PROGRESS_CLEAN;
    case RP_PROGRESS_WRITE_FAILED: /* the tasks that the write carried have to be written again */
        return RP_PROGRESS_DIRTY;
    }
    return state;
}

void rp_job_progress_apply(struct rp_job_progress *progress, struct rp_progress_record record,
                           enum rp_progress_event event) {
    unsigned first = record.is_unit ? record.index : record.index * RP_CHUNK_UNITS;
    unsigned end = record.is_unit ? first + 1 : first + RP_CHUNK_UNITS;
    /* A chunk covers units that a small job does not have. Without the check against n_units, such
     * units would be marked dirty and, written as units after the activation, be read and written
     * beyond the job's memory. */
    for (unsigned i = first; i < end && i < n_units(progress); i++)
        set_unit_state(progress, i, next_state(unit_state(progress, i), event));
}

/* The bit set of the units that a record covers. There are at most RP_UNITS_MAX units, so they fit
 * a 64-bit set. */
static uint64_t units_of(struct rp_progress_record record) {
    return record.is_unit
               ? UINT64_C(1) << record.index
               : ((UINT64_C(1) << RP_CHUNK_UNITS) - 1) << (record.index * RP_CHUNK_UNITS);
}

bool rp_job_progress_can_write(const struct rp_job_progress *progress,
                               struct rp_progress_record record) {
    uint64_t units = units_of(record);
    return progress->dirty_units & units && !(progress->in_flight_units & units);
}

void rp_job_progress_mark_durable(struct rp_job_progress *progress,
                                  struct rp_progress_record record, const uint8_t *bits) {
    size_t offset = rp_progress_record_offset(record);
    size_t n_bytes = rp_job_progress_record_bytes(progress, record);
    uint8_t *durable = rp_job_progress_durable_bits(progress);
    for (size_t i = 0; i < n_bytes; i++)
        durable[offset + i] |= bits[i];
}

bool rp_job_progress_may_write(const struct rp_job_progress *progress, struct timespec now) {
    return rp_ts_is_reached(now, progress->write_back_backoff_until);
}

void rp_job_progress_back_off(struct rp_job_progress *progress, struct timespec now) {
    progress->write_back_backoff_until = rp_ts_after(now, REFUSED_BACKOFF_S);
}

static uint64_t *revision_of(const struct rp_job_progress *progress,
                             struct rp_progress_record record) {
    size_t first = record.is_unit ? n_chunks(progress) : 0;
    return &progress->revisions[first + record.index];
}

uint64_t rp_job_progress_revision(const struct rp_job_progress *progress,
                                  struct rp_progress_record record) {
    return *revision_of(progress, record);
}

void rp_job_progress_set_revision(struct rp_job_progress *progress,
                                  struct rp_progress_record record, uint64_t revision) {
    *revision_of(progress, record) = revision;
}
