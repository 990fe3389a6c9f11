/** @file
 * What a user submits: the specification of a job, which never changes afterwards (PROTOCOL,
 * "POST /v1/jobs"). Read by the protocol layer, kept by the job table. */
#ifndef RP_MODEL_JOB_SPEC_H
#define RP_MODEL_JOB_SPEC_H

#include <stddef.h>
#include <stdint.h>
#include "model/names.h"
#include "model/resources.h"

/** Tasks of a job (PROTOCOL). */
#define RP_TASKS_MAX 100000

/** How a job's tasks belong together. */
enum rp_job_kind {
    RP_JOB_ARRAY,  /* independent tasks, each runs to completion */
    RP_JOB_GANG,   /* all tasks run at the same time or none does */
    RP_JOB_SERVICE /* an array whose tasks run until its user cancels it (docs/questions.md) */
};

/** Who may be stopped for whom: a higher priority may preempt a lower one. */
enum rp_priority { RP_PRIORITY_LOW, RP_PRIORITY_NORMAL, RP_PRIORITY_HIGH, RP_PRIORITY_CRITICAL };

/** The specification of a job. Owns `types`; the caller must free it with rp_job_spec_free. */
struct rp_job_spec {
    char id[RP_ID_MAX];
    char class_name[RP_TEXT_MAX];
    char team[RP_TEXT_MAX];
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks;
    struct rp_resources each; /* what each task takes of its machine */
    char image[RP_TEXT_MAX];
    double image_gb;
    char (*types)[RP_TEXT_MAX]; /* allowed machine types; NULL: any */
    size_t n_types;
    char zone[RP_TEXT_MAX]; /* the only allowed zone; "": any */
    bool one_zone;          /* all tasks must be in the same zone */
    bool spread;            /* at most half of the tasks, rounded up, may be in one zone */
    bool spot;              /* may use spot machines */
    double estimate_s;      /* the owner's estimate of a task's run time; often wrong by half */
    double checkpoint_s;    /* interval of checkpoints, in seconds of progress; 0: never saves */
    double save_s;          /* a stopped task needs so long to save */
    double deadline_s;      /* wished end, from the submission; 0: none */
};

#endif
