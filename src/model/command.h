/** @file
 * Commands to workers (PROTOCOL, "POST /checkin"). Created by worker/ and encoded by the protocol
 * layer. */
#ifndef RP_MODEL_COMMAND_H
#define RP_MODEL_COMMAND_H

#include <stdint.h>
#include "model/names.h"

/** The kinds of commands. A repeated command has no further effect, except that a start after a
 * forget begins the attempt anew. */
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
    double grace_s; /* for a stop: seconds to save a checkpoint; 0: the task ends at once */
};

#endif
