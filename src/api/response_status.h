/** @file
 * The HTTP status codes that a node sends to users, operators and other nodes. The meaning of each
 * is part of the protocol; a node sends no others on these paths. */
#ifndef RP_API_RESPONSE_STATUS_H
#define RP_API_RESPONSE_STATUS_H

/** The status code of a response. */
enum rp_response_status {
    RP_RESPONSE_OK = 200,
    RP_RESPONSE_CREATED = 201,            /* a job that did not exist before */
    RP_RESPONSE_MALFORMED = 400,          /* the body cannot be read as a job */
    RP_RESPONSE_NOT_FOUND = 404,          /* no such path, or no such job */
    RP_RESPONSE_METHOD_NOT_ALLOWED = 405, /* the path exists, but does not support the method */
    RP_RESPONSE_UNACCEPTABLE = 422,       /* a job that this cluster could never run */
    RP_RESPONSE_UNAVAILABLE = 503         /* not possible now: the same request may succeed later */
};

#endif
