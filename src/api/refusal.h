/** @file
 * The reasons for which a submission is refused, and the text that its user gets for each. Users'
 * programs may compare the texts: they must not change, and are defined only here. */
#ifndef RP_API_REFUSAL_H
#define RP_API_REFUSAL_H

#include "api/response_status.h"
#include "protocol/codec.h"

/** The error text for a request that cannot be answered now, but may be later. */
#define RP_TEXT_UNAVAILABLE "not possible just now"

/** The reason for which a submission is refused. */
enum rp_refusal_reason {
    RP_REFUSAL_NONE,             /* no reason found so far */
    RP_REFUSAL_NO_ID,            /* not a JSON object, or without a valid id */
    RP_REFUSAL_MALFORMED,        /* a field is missing or wrong: `detail` names it */
    RP_REFUSAL_UNKNOWN_TEAM,     /* the settings have no such team */
    RP_REFUSAL_CATALOG_UNKNOWN,  /* the machine types have not been received from the cloud yet */
    RP_REFUSAL_NO_FITTING_TYPE,  /* a task is larger than every machine type that it allows */
    RP_REFUSAL_OVER_TEAM_LIMIT,  /* the job needs more than its team may ever use at once */
    RP_REFUSAL_TOO_LARGE,        /* no transaction of the store can hold the description */
    RP_REFUSAL_FORMAT_NOT_ACTIVE /* the job needs RP_FORMAT, which not every node supports yet */
};

/** A reason, with the codec's error text where there is one. */
struct rp_refusal {
    enum rp_refusal_reason reason;
    char detail[RP_CODEC_ERROR_MAX]; /* for RP_REFUSAL_MALFORMED */
};

/** The status of the response to a refused submission; RP_RESPONSE_OK for RP_REFUSAL_NONE. */
enum rp_response_status rp_refusal_status(const struct rp_refusal *refusal);
/** The text that the user gets; valid as long as the refusal. */
const char *rp_refusal_text(const struct rp_refusal *refusal);

#endif
