/** @file
 * What workers are told to do (PROTOCOL, "POST /checkin"). Chosen by worker/, encoded by the
 * protocol layer. */
#ifndef RP_MODEL_COMMAND_H
#define RP_MODEL_COMMAND_H

#include <stdint.h>
#include "model/names.h"

/** Every command can be repeated, but a start after a forget begins the attempt anew. */
enum rp_command_kind {
    RP_COMMAND_START,
    RP_COMMAND_STOP,
    RP_COMMAND_FORGET /* removes an exited task from the worker's list */
};

/** A command that concerns one attempt of a task. */
struct rp_command {
    enum rp_command_kind kind;
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    double grace_s; /* of a stop: time to save; 0: the task ends at once */
};

#endif
