#include "api/refusal.h"

static const struct {
    enum rp_response_status status;
    const char *text;
} responses[] = {
    [RP_REFUSAL_NONE] = {RP_RESPONSE_OK, ""},
    [RP_REFUSAL_NO_ID] = {RP_RESPONSE_MALFORMED, "not a JSON object with a valid id"},
    [RP_REFUSAL_MALFORMED] = {RP_RESPONSE_MALFORMED, ""},
    [RP_REFUSAL_UNKNOWN_TEAM] = {RP_RESPONSE_UNACCEPTABLE, "unknown team"},
    [RP_REFUSAL_CATALOG_UNKNOWN] = {RP_RESPONSE_UNAVAILABLE, RP_TEXT_UNAVAILABLE},
    [RP_REFUSAL_NO_FITTING_TYPE] = {RP_RESPONSE_UNACCEPTABLE,
                                    "a task fits no allowed machine type"},
    [RP_REFUSAL_OVER_TEAM_LIMIT] = {RP_RESPONSE_UNACCEPTABLE, "needs more than the team's limit"},
    [RP_REFUSAL_TOO_LARGE] = {RP_RESPONSE_UNACCEPTABLE,
                              "the description is longer than the state service can keep"},
    [RP_REFUSAL_FORMAT_NOT_ACTIVE] = {RP_RESPONSE_UNAVAILABLE, RP_TEXT_UNAVAILABLE}};

enum rp_response_status rp_refusal_status(const struct rp_refusal *refusal) {
    return responses[refusal->reason].status;
}

const char *rp_refusal_text(const struct rp_refusal *refusal) {
    if (refusal->reason == RP_REFUSAL_MALFORMED)
        return refusal->detail;
    return responses[refusal->reason].text;
}
