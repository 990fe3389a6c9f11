/** @file
 * Job specifications as JSON. Users submit them, and job records hold them, in the same form;
 * called by the users' codec and by the records of the key-value store. */
#ifndef RP_PROTOCOL_JOB_CODEC_H
#define RP_PROTOCOL_JOB_CODEC_H

#include <jansson.h>
#include "model/job_spec.h"
#include "protocol/codec.h"

/** Whether a text is a job id: "j-" and one to twenty digits. NULL is none. */
bool rp_job_codec_is_id(const char *text);

/** Reads a specification. Returns false when a field is missing or wrong: then `error` tells the
 * first one, and `out` owns nothing. Else the caller must rp_job_spec_free it. */
bool rp_job_codec_read_spec(const json_t *object, struct rp_job_spec *out,
                            struct rp_codec_error *error);

/** Writes a specification; the caller must json_decref it. */
json_t *rp_job_codec_write_spec(const struct rp_job_spec *spec);

/** Frees what a specification owns. May be called twice. */
void rp_job_spec_free(struct rp_job_spec *spec);

#endif
