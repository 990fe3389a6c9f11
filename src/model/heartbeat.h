/** @file
 * A worker's report on its machine: the decoded form of heartbeats and of the responses to direct
 * commands and probes (PROTOCOL, "POST /checkin"). Filled by the protocol layer, read by worker/.
 */
#ifndef RP_MODEL_HEARTBEAT_H
#define RP_MODEL_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "model/names.h"

/** State of a task on its machine. */
enum rp_task_state {
    RP_TASK_FETCHING, /* waits for its image */
    RP_TASK_WAITING,  /* a gang's task: waits for the other tasks of its attempt */
    RP_TASK_RUNNING,
    RP_TASK_SAVING, /* has received a stop and saves a checkpoint */
    RP_TASK_EXITED  /* ended; listed until the worker receives a forget */
};

/** Reason for the end of a task. */
enum rp_exit_reason {
    RP_EXIT_NONE, /* the task has not ended */
    RP_EXIT_DONE,
    RP_EXIT_STOPPED,
    RP_EXIT_GANG_MEMBER_LOST,
    RP_EXIT_GANG_WAIT_TIMEOUT,
    RP_EXIT_ERROR,
    RP_EXIT_NO_CAPACITY,     /* start refused: not enough free resources on the machine */
    RP_EXIT_ALREADY_PRESENT, /* start refused: another attempt of the task is on the machine */
    RP_EXIT_UNKNOWN_TASK,    /* start refused: the user has not uploaded such a task */
    RP_EXIT_OTHER            /* the reason is missing, or unknown to this version */
};

/** One task on a machine. */
struct rp_task_status {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    enum rp_task_state state;
    enum rp_exit_reason exit_reason;
    bool saved; /* whether the task was stopped and has saved its progress */
};

/** A worker's message. Owns `tasks`. The caller must free it with rp_heartbeat_free. */
struct rp_heartbeat {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX]; /* address for direct commands */
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    uint64_t incarnation;   /* increases each time the worker's lease expires */
    uint64_t seq;           /* of two messages, the larger (incarnation, seq) is newer */
    uint64_t fencing_token; /* highest fencing token that the worker has received */
    bool has_notice;        /* spot notice: the cloud reclaims the machine */
    double notice_s;        /* with has_notice: seconds until the cloud reclaims the machine */
    struct rp_task_status *tasks;
    size_t n_tasks;
};

#endif
