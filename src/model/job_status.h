/** @file
 * The status of a job that is sent to its user (PROTOCOL, "GET /v1/jobs/{id}"). */
#ifndef RP_MODEL_JOB_STATUS_H
#define RP_MODEL_JOB_STATUS_H

#include <stdint.h>
#include "model/names.h"

/** The phase of a job. Done and cancelled are terminal: once sent to a user, they never change. */
enum rp_job_phase {
    RP_JOB_QUEUED, /* no task is running */
    RP_JOB_RUNNING,
    RP_JOB_DONE,
    RP_JOB_CANCELLED,
    RP_JOB_UNDETERMINED /* this node has no proof whether a task is running; never sent to users */
};

/** A snapshot of the state of a job. */
struct rp_job_status {
    char id[RP_ID_MAX];
    enum rp_job_phase phase;
    uint32_t done, running; /* numbers of tasks, for display; meaningless in a terminal phase */
    double age_s; /* of an open job: seconds since the instant at which the phase was known to be
                     true */
};

#endif
