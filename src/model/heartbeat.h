/** @file
 * What a worker says of its machine: the decoded form of heartbeats and of the responses to direct
 * commands and probes (PROTOCOL, "POST /checkin"). Filled by the protocol layer, read by worker/.
 */
#ifndef RP_MODEL_HEARTBEAT_H
#define RP_MODEL_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "model/names.h"

/** What a task does on its machine. */
enum rp_task_state {
    RP_TASK_FETCHING, /* waits for its image */
    RP_TASK_WAITING,  /* of a gang: waits for the other tasks of its attempt */
    RP_TASK_RUNNING,
    RP_TASK_SAVING, /* was told to stop, and saves a checkpoint */
    RP_TASK_EXITED  /* ended; listed until it is forgotten */
};

/** Why a task ended. */
enum rp_exit_reason {
    RP_EXIT_NONE, /* it hasn't */
    RP_EXIT_DONE,
    RP_EXIT_STOPPED,
    RP_EXIT_GANG_MEMBER_LOST,
    RP_EXIT_GANG_WAIT_TIMEOUT,
    RP_EXIT_ERROR,
    RP_EXIT_NO_CAPACITY,     /* start refused: not enough free resources on the machine */
    RP_EXIT_ALREADY_PRESENT, /* start refused: the task is there with another attempt */
    RP_EXIT_UNKNOWN_TASK,    /* start refused: its user has not uploaded such a task */
    RP_EXIT_OTHER            /* a reason that this version doesn't know */
};

/** One task on a machine. */
struct rp_task_status {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    enum rp_task_state state;
    enum rp_exit_reason exit_reason;
    bool saved; /* it was stopped, and its progress was saved */
};

/** A worker's message. Owns `tasks`; the caller must free it with rp_heartbeat_free. */
struct rp_heartbeat {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX]; /* for direct commands */
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    uint64_t incarnation;   /* grows each time the worker's lease expires */
    uint64_t seq;           /* the larger (incarnation, seq) is the newer message */
    uint64_t fencing_token; /* the highest that the worker has seen */
    bool has_notice;        /* the cloud takes the machine back */
    double notice_s;        /* in so many seconds */
    struct rp_task_status *tasks;
    size_t n_tasks;
};

#endif
