/** @file
 * Codec of the messages of the users' interface: submissions and the states of jobs. Called by
 * src/api and by src/controller/node_requests.c, which routes the requests. */
#ifndef RP_PROTOCOL_USER_CODEC_H
#define RP_PROTOCOL_USER_CODEC_H

#include "model/job_spec.h"
#include "model/job_status.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"

/** Path of jobs. POST to it submits a job; requests to PATH/ID query or cancel a job. */
#define RP_PATH_JOBS "/v1/jobs"
/** Path of health checks. */
#define RP_PATH_HEALTH "/healthz"

/** Reads only the id of a submission: a repeated submission of an existing job is responded to
 * before errors in its other fields are reported. Returns false when there is no valid id. */
bool rp_user_codec_parse_submission_id(const char *body, size_t len, char id[RP_ID_MAX]);

/** Reads a submission. On success, the caller must rp_job_spec_free `out`. Returns false when the
 * submission is malformed. In that case `error` describes the first error, and `out` owns nothing.
 */
bool rp_user_codec_parse_submission(const char *body, size_t len, struct rp_job_spec *out,
                                    struct rp_codec_error *error);

/** Writes the response to a user's query of a job. It contains the counts of tasks unless the job
 * is done or cancelled. The caller frees the text. */
char *rp_user_codec_write_job_status(const struct rp_job_status *status);

#endif
