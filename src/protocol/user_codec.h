/** @file
 * What users send and are answered: submissions and the states of jobs. Called by src/api and by
 * the node that routes requests. */
#ifndef RP_PROTOCOL_USER_CODEC_H
#define RP_PROTOCOL_USER_CODEC_H

#include "model/job_spec.h"
#include "model/job_status.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"

/** Path of jobs: POST submits one; PATH/ID queries or cancels one. */
#define RP_PATH_JOBS "/v1/jobs"
/** Path of health checks. */
#define RP_PATH_HEALTH "/healthz"

/** Reads the id of a submission alone: known jobs are answered before anything is found wrong with
 * the rest. Returns false when there is no valid one. */
bool rp_user_codec_parse_submission_id(const char *body, size_t len, char id[RP_ID_MAX]);

/** Reads a submission. Returns false when it is malformed: then `error` tells the first mistake,
 * and `out` owns nothing. Else the caller must rp_job_spec_free it. */
bool rp_user_codec_parse_submission(const char *body, size_t len, struct rp_job_spec *out,
                                    struct rp_codec_error *error);

/** Writes what a user is told of a job. Counts of tasks are told until the job is done or
 * cancelled. The caller frees the text. */
char *rp_user_codec_write_job_status(const struct rp_job_status *status);

#endif
