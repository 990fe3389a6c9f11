/** @file
 * Amounts of the resources that tasks occupy on machines, and arithmetic on them. Used by all
 * computations of capacity, usage and quotas.
 *
 * A machine has a limited number of task slots besides its CPUs, GPUs and memory, because its
 * worker's reports list every task and may have 64 KiB (PROTOCOL, "The protocols"). Without the
 * limit, a job of many small tasks makes the reports of its machines too long: every report is
 * refused, and all tasks on the machine end with the worker's lease. */
#ifndef RP_MODEL_RESOURCES_H
#define RP_MODEL_RESOURCES_H

#include <math.h>
#include <stdbool.h>

/** An amount of each kind of resource. */
struct rp_resources {
    double cpus;
    double gpus;
    double memory_gb;
    double task_slots; /* 1 for a task; 0 in amounts that are not compared with a machine */
};

/** Task slots of a machine. A report has up to 135 bytes for a task with the longest names and
 * numbers, so that it may list 480 tasks; the rest is for tasks that the report lists twice, as
 * ended and as started anew. */
#define RP_MACHINE_TASK_SLOTS 448
/** The last free task slots of a machine, which are left to tasks that take at least their share,
 * one part in the number of free slots, of some resource that is free. Without the reservation, a
 * job of small tasks would take all slots of a machine that still has room for other jobs. */
#define RP_RESERVED_TASK_SLOTS 192

/** Amount by which a sum may exceed the capacity and still fit. Amounts are sums of decimal
 * numbers, which have rounding errors. */
#define RP_RESOURCES_TOLERANCE 1e-9

/** Number of further small tasks of a job that a machine may take, given its free task slots and
 * the number of the job's tasks that it lists: a job of small tasks takes at most as many slots as
 * it leaves free. Otherwise one such job would take all slots that other jobs of small tasks need.
 * A small task is one that does not take its share (rp_resources_takes_share). */
static inline double rp_resources_n_small_tasks(double n_free_slots, double n_listed_of_job) {
    return fmax(0, floor((n_free_slots - RP_RESERVED_TASK_SLOTS - n_listed_of_job + 1) / 2));
}

/** Adds `amount` to `sum`. */
static inline void rp_resources_add(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus += amount->cpus;
    sum->gpus += amount->gpus;
    sum->memory_gb += amount->memory_gb;
    sum->task_slots += amount->task_slots;
}

/** Subtracts `amount` from `sum`. The result of each kind is at least 0. */
static inline void rp_resources_sub(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus = fmax(0, sum->cpus - amount->cpus);
    sum->gpus = fmax(0, sum->gpus - amount->gpus);
    sum->memory_gb = fmax(0, sum->memory_gb - amount->memory_gb);
    sum->task_slots = fmax(0, sum->task_slots - amount->task_slots);
}

/** Whether a task takes at least its share of some resource: the free amount divided by the number
 * of free task slots. */
static inline bool rp_resources_takes_share(const struct rp_resources *required,
                                            const struct rp_resources *available) {
    double slots = available->task_slots;
    return (available->cpus > 0 && required->cpus * slots >= available->cpus) ||
           (available->gpus > 0 && required->gpus * slots >= available->gpus) ||
           (available->memory_gb > 0 && required->memory_gb * slots >= available->memory_gb);
}

/** The free task slots that tasks of this need may take; may be negative. */
static inline double rp_resources_slots_for(const struct rp_resources *required,
                                            const struct rp_resources *available) {
    return rp_resources_takes_share(required, available)
               ? available->task_slots
               : available->task_slots - RP_RESERVED_TASK_SLOTS;
}

/** Whether the required amount of each kind is at most the capacity. An amount without task slots
 * needs none. */
static inline bool rp_resources_fit(const struct rp_resources *required,
                                    const struct rp_resources *capacity) {
    return required->cpus <= capacity->cpus + RP_RESOURCES_TOLERANCE &&
           required->gpus <= capacity->gpus + RP_RESOURCES_TOLERANCE &&
           required->memory_gb <= capacity->memory_gb + RP_RESOURCES_TOLERANCE &&
           (required->task_slots <= 0 ||
            required->task_slots <= rp_resources_slots_for(required, capacity));
}

#endif
