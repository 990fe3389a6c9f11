/** @file
 * Expected run times of tasks: the owner's estimate, corrected by the observed run times of the
 * job's class and of the job itself. Kept in memory as long as the process runs; nothing of it is
 * stored. */
#ifndef RP_JOBS_RUN_TIME_ESTIMATOR_H
#define RP_JOBS_RUN_TIME_ESTIMATOR_H

#include "jobs/job.h"

/** Maximum number of job classes whose run times are recorded. Run times of further classes are
 * counted in /status and logged. */
#define RP_CLASSES_MAX 256

/** The ratio of the real run times of a class to its owners' estimates. */
struct rp_class_stats {
    char name[RP_TEXT_MAX];
    double ratio;  /* decayed mean of run time / estimate */
    double weight; /* decayed number of observations */
};

/** The estimator and its statistics by class. */
struct rp_run_time_estimator {
    struct rp_class_stats classes[RP_CLASSES_MAX];
    size_t n_classes;
    unsigned long n_unclassified; /* run times of classes beyond RP_CLASSES_MAX */
};

/** Records that one of the job's tasks was done after running for `run_s` seconds. */
void rp_run_time_estimator_record(struct rp_run_time_estimator *estimator, struct rp_job *job,
                                  double run_s);
/** The expected run time of one of the job's tasks in seconds; 0 for a service, which has no end.
 */
double rp_run_time_estimator_expected_s(const struct rp_run_time_estimator *estimator,
                                        const struct rp_job *job);

#endif
