/** @file
 * Codec of job specifications as JSON. Users' submissions and the job records of the key-value
 * store contain them in the same form. Called by user_codec.c and by src/store/records.c. */
#ifndef RP_PROTOCOL_JOB_CODEC_H
#define RP_PROTOCOL_JOB_CODEC_H

#include <jansson.h>
#include "model/job_spec.h"
#include "protocol/codec.h"

/** Whether a text is a job id: "j-" followed by one to twenty digits. False for NULL. */
bool rp_job_codec_is_id(const char *text);

/** Reads a specification. On success, the caller must rp_job_spec_free `out`. Returns false when a
 * field is missing or invalid. In that case `error` describes the first such field, and `out` owns
 * nothing. */
bool rp_job_codec_read_spec(const json_t *object, struct rp_job_spec *out,
                            struct rp_codec_error *error);

/** Writes a specification. The caller must json_decref the returned value. */
json_t *rp_job_codec_write_spec(const struct rp_job_spec *spec);

/** Frees what a specification owns. Calling it twice is harmless. */
void rp_job_spec_free(struct rp_job_spec *spec);

#endif
