/** @file
 * The specification of a job, as its user submits it (PROTOCOL, "POST /v1/jobs"). It never changes
 * after the submission. Decoded by the protocol layer and stored in the job table. */
#ifndef RP_MODEL_JOB_SPEC_H
#define RP_MODEL_JOB_SPEC_H

#include <stddef.h>
#include <stdint.h>
#include "model/names.h"
#include "model/resources.h"

/** Maximum number of tasks of a job (PROTOCOL). */
#define RP_TASKS_MAX 100000

/** How a job's tasks depend on each other. */
enum rp_job_kind {
    RP_JOB_ARRAY,  /* independent tasks, each runs to completion */
    RP_JOB_GANG,   /* either all tasks run at the same time, or none does */
    RP_JOB_SERVICE /* an array whose tasks run until the user cancels the job (docs/questions.md) */
};

/** Priority of a job. Tasks of a higher priority may preempt those of a lower one. */
enum rp_priority { RP_PRIORITY_LOW, RP_PRIORITY_NORMAL, RP_PRIORITY_HIGH, RP_PRIORITY_CRITICAL };

/** The specification of a job. Owns `types`; the caller must free it with rp_job_spec_free. */
struct rp_job_spec {
    char id[RP_ID_MAX];
    char class_name[RP_TEXT_MAX];
    char team[RP_TEXT_MAX];
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks;
    struct rp_resources task_resources; /* resources that each task occupies on its machine */
    char image[RP_TEXT_MAX];
    double image_gb;
    char (*types)[RP_TEXT_MAX]; /* allowed machine types; NULL: any type */
    size_t n_types;
    char zone[RP_TEXT_MAX];     /* the only allowed zone; "": any zone */
    bool one_zone;              /* all tasks must be in the same zone */
    bool spread;                /* at most half of the tasks, rounded up, may be in one zone */
    bool spot;                  /* tasks may run on spot machines */
    double run_time_estimate_s; /* the user's estimate of a task's run time; often wrong by half */
    double checkpoint_interval_s; /* seconds of progress between checkpoints; 0: none are saved */
    double save_duration_s;       /* time that a stopped task needs to save a checkpoint */
    double deadline_s; /* seconds from the submission to the desired end; 0: no deadline */
};

#endif
