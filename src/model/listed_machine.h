/** @file
 * A machine as an entry of the cloud's list, which lags behind the actual state (PROTOCOL, "GET
 * /machines"). Decoded by the protocol layer, read by cluster/. */
#ifndef RP_MODEL_LISTED_MACHINE_H
#define RP_MODEL_LISTED_MACHINE_H

#include <stdbool.h>
#include "model/names.h"

/** State of a machine in the cloud's list. */
enum rp_listed_state {
    RP_LISTED_BOOTING, /* may already be up and run tasks */
    RP_LISTED_RUNNING,
    RP_LISTED_FAILED /* stopped without a release request; no longer billed, listed until deleted */
};

/** An entry of the cloud's list. */
struct rp_listed_machine {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    char type[RP_TEXT_MAX];
    char zone[RP_TEXT_MAX];
    bool spot;
    enum rp_listed_state state;
    double age_s; /* seconds from the provision request to the moment that the list describes */
};

#endif
