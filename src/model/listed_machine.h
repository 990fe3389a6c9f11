/** @file
 * A machine as the cloud lists it, which lags behind (PROTOCOL, "GET /machines"). Decoded by the
 * protocol layer, read by cluster/. */
#ifndef RP_MODEL_LISTED_MACHINE_H
#define RP_MODEL_LISTED_MACHINE_H

#include <stdbool.h>
#include "model/names.h"

/** The state that the cloud lists. */
enum rp_listed_state {
    RP_LISTED_BOOTING, /* may be up, and run tasks, already */
    RP_LISTED_RUNNING,
    RP_LISTED_FAILED /* has stopped by itself; no longer charged, listed until deleted */
};

/** An entry of the cloud's list. */
struct rp_listed_machine {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    enum rp_listed_state state;
    double age_s; /* since the rental request, at the time that the list describes */
};

#endif
