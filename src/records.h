/* What the service keeps in the state service: keys and values of its own making. */
#ifndef RP_RECORDS_H
#define RP_RECORDS_H

#include <jansson.h>
#include "model.h"

/* All keys lie below one tenant's prefix; a hosted service would have one for each tenant. */
#define RP_KEY_ROOT "rp/main/"
#define RP_KEY_LEADER RP_KEY_ROOT "leader"
#define RP_KEY_OPEN RP_KEY_ROOT "open/"         /* jobs that are not over, by id */
#define RP_KEY_OVER RP_KEY_ROOT "over/"         /* how a job ended, kept for ever */
#define RP_KEY_PROGRESS RP_KEY_ROOT "progress/" /* tasks done, by id and chunk */
#define RP_KEY_RENTAL RP_KEY_ROOT "rental/"     /* rental requests and their machines */
#define RP_KEY_MAX 200

/* Tasks in one progress record; its value stays near 2 KiB however large the job is. */
#define RP_CHUNK_TASKS 8192
#define RP_CHUNK_BYTES (RP_CHUNK_TASKS / 8)

void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name);
void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk);
/* Splits a progress key; false when it is none. */
bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *chunk);

json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted);
bool rp_record_open_read(json_t *v, struct rp_job_spec *spec, struct timespec *accepted);
json_t *rp_record_over(enum rp_job_word word);
bool rp_record_over_read(json_t *v, enum rp_job_word *word);
json_t *rp_record_progress(const uint8_t *bits, size_t n_bytes);
bool rp_record_progress_read(json_t *v, uint8_t *bits, size_t n_bytes);
json_t *rp_record_leader(const char *node);
const char *rp_record_leader_read(json_t *v);

struct rp_rental_record {
    char type[RP_TEXT_MAX], zone[RP_TEXT_MAX];
    bool spot;
    unsigned count;
    struct timespec asked; /* time of day */
    bool answered;         /* the names are known */
};
/* `up[i]`: the machine has reported, and may hold tasks. */
json_t *rp_record_rental(const struct rp_rental_record *r, const char *const *names, const bool *up,
                         size_t n);
bool rp_record_rental_read(json_t *v, struct rp_rental_record *out);
size_t rp_record_rental_names(json_t *v);
const char *rp_record_rental_name(json_t *v, size_t i);
bool rp_record_rental_up(json_t *v, const char *name);

#endif
