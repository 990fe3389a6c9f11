#include "jobs/deleted_records.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "model/names.h"

struct rp_deleted_record {
    char job_id[RP_ID_MAX];
    uint64_t revision;
    struct rp_deleted_record *next;
};

static size_t bucket_of(const char *job_id) {
    return (size_t)(rp_hash_string(job_id) % RP_DELETED_RECORDS_BUCKETS);
}

static struct rp_deleted_record *find(const struct rp_deleted_records *deleted,
                                      const char *job_id) {
    struct rp_deleted_record *record = deleted->buckets[bucket_of(job_id)];
    while (record && strcmp(record->job_id, job_id) != 0)
        record = record->next;
    return record;
}

void rp_deleted_records_add(struct rp_deleted_records *deleted, const char *job_id,
                            uint64_t revision) {
    struct rp_deleted_record *record = find(deleted, job_id);
    if (!record) {
        struct rp_deleted_record **bucket = &deleted->buckets[bucket_of(job_id)];
        record = rp_alloc(1, sizeof *record);
        rp_string_copy(record->job_id, sizeof record->job_id, job_id);
        record->next = *bucket;
        *bucket = record;
    }
    if (revision > record->revision)
        record->revision = revision;
}

bool rp_deleted_records_has(const struct rp_deleted_records *deleted, const char *job_id,
                            uint64_t revision) {
    const struct rp_deleted_record *record = find(deleted, job_id);
    return record && record->revision >= revision;
}

void rp_deleted_records_remove_until(struct rp_deleted_records *deleted, uint64_t revision) {
    for (size_t i = 0; i < RP_DELETED_RECORDS_BUCKETS; i++)
        for (struct rp_deleted_record **link = &deleted->buckets[i]; *link;) {
            struct rp_deleted_record *record = *link;
            if (record->revision > revision) {
                link = &record->next;
                continue;
            }
            *link = record->next;
            free(record);
        }
}

void rp_deleted_records_clear(struct rp_deleted_records *deleted) {
    rp_deleted_records_remove_until(deleted, UINT64_MAX);
}
