/** @file
 * What a user is told of a job (PROTOCOL, "GET /v1/jobs/{id}"). */
#ifndef RP_MODEL_JOB_STATUS_H
#define RP_MODEL_JOB_STATUS_H

#include <stdint.h>
#include "model/names.h"

/** The phase of a job. Done and cancelled are terminal: once told, they never change. */
enum rp_job_phase {
    RP_JOB_QUEUED, /* no task runs */
    RP_JOB_RUNNING,
    RP_JOB_DONE,
    RP_JOB_CANCELLED
};

/** The state of a job at some moment. */
struct rp_job_status {
    char id[RP_ID_MAX];
    enum rp_job_phase phase;
    uint32_t done, running; /* counts of tasks, for display; void in a terminal phase */
};

#endif
