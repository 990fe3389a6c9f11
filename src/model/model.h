/** @file
 * The field's terms: what every part of the service speaks of. */
#ifndef RP_MODEL_MODEL_H
#define RP_MODEL_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/timeutil.h"

#define RP_ID_MAX 48    /* a job's id */
#define RP_TEXT_MAX 96  /* names of classes, teams, images, types, zones, machines */
#define RP_TYPES_MAX 32 /* machine types: a job's allowed ones are a bit set */
#define RP_ZONES_MAX 32
#define RP_TASKS_MAX 100000

/** A service is an array whose tasks run until its user cancels it (docs/questions.md). */
enum rp_job_kind { RP_JOB_ARRAY, RP_JOB_GANG, RP_JOB_SERVICE };
enum rp_priority { RP_PRIORITY_LOW, RP_PRIORITY_NORMAL, RP_PRIORITY_HIGH, RP_PRIORITY_CRITICAL };

struct rp_resources {
    double cpus, gpus, memory_gb;
};

static inline void rp_resources_add(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus += amount->cpus;
    sum->gpus += amount->gpus;
    sum->memory_gb += amount->memory_gb;
}

/** Never below nothing. */
static inline void rp_resources_sub(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus = fmax(0, sum->cpus - amount->cpus);
    sum->gpus = fmax(0, sum->gpus - amount->gpus);
    sum->memory_gb = fmax(0, sum->memory_gb - amount->memory_gb);
}

static inline bool rp_resources_fit(const struct rp_resources *need,
                                    const struct rp_resources *room) {
    return need->cpus <= room->cpus + 1e-9 && need->gpus <= room->gpus + 1e-9 &&
           need->memory_gb <= room->memory_gb + 1e-9;
}

struct rp_job_spec {
    char id[RP_ID_MAX];
    char class_name[RP_TEXT_MAX];
    char team[RP_TEXT_MAX];
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks;
    struct rp_resources each;
    char image[RP_TEXT_MAX];
    double image_gb;
    char (*types)[RP_TEXT_MAX]; /* NULL: any */
    size_t n_types;
    char zone[RP_TEXT_MAX]; /* "": any */
    bool one_zone, spread, spot;
    double estimate_s, checkpoint_s, save_s;
    double deadline_s; /* 0: none */
};

struct rp_machine_type {
    char name[RP_TEXT_MAX];
    struct rp_resources capacity;
    double cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
    uint32_t zones; /* bit set over rp_catalog.zones */
};

struct rp_catalog {
    struct rp_machine_type types[RP_TYPES_MAX];
    size_t n_types;
    char zones[RP_ZONES_MAX][RP_TEXT_MAX];
    size_t n_zones;
    size_t n_left_out; /* types and zones beyond these bounds */
};

/** FNV-1a. */
static inline uint64_t rp_hash_string(const char *text) {
    uint64_t hash = 14695981039346656037u;
    for (; *text; text++)
        hash = (hash ^ (unsigned char)*text) * 1099511628211u;
    return hash;
}

enum rp_task_state {
    RP_TASK_FETCHING,
    RP_TASK_WAITING,
    RP_TASK_RUNNING,
    RP_TASK_SAVING,
    RP_TASK_EXITED
};
enum rp_exit_reason {
    RP_EXIT_NONE,
    RP_EXIT_DONE,
    RP_EXIT_STOPPED,
    RP_EXIT_GANG_MEMBER_LOST,
    RP_EXIT_GANG_WAIT_TIMEOUT,
    RP_EXIT_ERROR,
    RP_EXIT_NO_CAPACITY,
    RP_EXIT_ALREADY_PRESENT,
    RP_EXIT_UNKNOWN_TASK,
    RP_EXIT_OTHER
};

struct rp_task_status {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    enum rp_task_state state;
    enum rp_exit_reason exit_reason;
    bool saved;
};

struct rp_heartbeat {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    uint64_t incarnation, seq, fencing_token;
    bool has_notice;
    double notice_s;
    struct rp_task_status *tasks;
    size_t n_tasks;
};

enum rp_command_kind { RP_COMMAND_START, RP_COMMAND_STOP, RP_COMMAND_FORGET };

struct rp_command {
    enum rp_command_kind kind;
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    double grace_s;
};

enum rp_listed_state { RP_LISTED_BOOTING, RP_LISTED_RUNNING, RP_LISTED_FAILED };

struct rp_listed_machine {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    enum rp_listed_state state;
    double age_s;
};

/** What a user is told of a job. */
enum rp_job_phase { RP_JOB_QUEUED, RP_JOB_RUNNING, RP_JOB_DONE, RP_JOB_CANCELLED };

struct rp_job_status {
    char id[RP_ID_MAX];
    enum rp_job_phase phase;
    uint32_t done, running;
};

#endif
