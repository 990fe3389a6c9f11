/** @file
 * The HTTP status codes that users, operators and other nodes get from a node. The meaning of each
 * is part of the protocol; a node gives no others on these paths. */
#ifndef RP_API_RESPONSE_STATUS_H
#define RP_API_RESPONSE_STATUS_H

/** A response's status. */
enum rp_response_status {
    RP_RESPONSE_OK = 200,
    RP_RESPONSE_CREATED = 201,            /* a job that was not known before */
    RP_RESPONSE_MALFORMED = 400,          /* the body can't be read as a job */
    RP_RESPONSE_NOT_FOUND = 404,          /* no such path, or no such job */
    RP_RESPONSE_METHOD_NOT_ALLOWED = 405, /* the path exists, the method doesn't fit */
    RP_RESPONSE_UNACCEPTABLE = 422,       /* a job that could never run here */
    RP_RESPONSE_UNAVAILABLE = 503         /* not now: the same request may succeed later */
};

#endif
