/** @file
 * The messages by which a standby follows the leader: a request, and a response with changes of the
 * machine directory or with a compressed snapshot of all of it. Only this module encodes and
 * decodes them. A response comes from another process, possibly of another version: one that is not
 * exactly as expected is refused with its fault, and no part of it is used.
 *
 * stream_client.c and stream_server.c exchange the messages, change_log.c stores changes, and
 * machine_directory.c applies them. */
#ifndef RP_STANDBY_STREAM_MESSAGE_H
#define RP_STANDBY_STREAM_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "model/names.h"

/** The path of the stream on the peers' port. */
#define RP_PATH_STREAM "/peer/stream"
/** Bytes of a request's target: the path, and two numbers of at most 20 digits. */
#define RP_STREAM_TARGET_MAX 128
/** The version of the messages. A message of another version is refused: a standby then uses the
 * sender's responses as heartbeats only. */
#define RP_STREAM_VERSION 1
/** Maximum number of changes in a message; a standby that is further behind receives several
 * messages or a snapshot. */
#define RP_STREAM_CHANGES_MAX 4096
/** Maximum number of machines in a snapshot, several times the 4,000 that the users run; a larger
 * snapshot is refused. */
#define RP_STREAM_MACHINES_MAX 65536

/** A request for the stream: the position that the standby has reached. */
struct rp_stream_request {
    uint64_t term;  /* the term of the leader whose directory was copied; 0: no copy */
    uint64_t index; /* the number of the last change that the standby has applied */
};

/** The kinds of changes of a machine. */
enum rp_change_kind {
    RP_CHANGE_MACHINE_UP, /* the machine sends heartbeats: its address and incarnation are known */
    RP_CHANGE_MACHINE_RELEASING, /* the machine's release is being requested from the cloud */
    RP_CHANGE_MACHINE_TERMINATED /* the machine is terminated for certain */
};

/** A change of a machine; in a snapshot, the current state of the machine. */
struct rp_change {
    enum rp_change_kind kind;
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX]; /* for RP_CHANGE_MACHINE_UP */
    uint64_t incarnation;   /* for RP_CHANGE_MACHINE_UP */
};

/** The response to a request for the stream. */
struct rp_stream_message {
    uint64_t term;  /* the fencing token under which the sender leads; 0: it does not lead */
    uint64_t index; /* the number of the last change in the message; changes are numbered from 1 */
    /* Whether `changes` lists every machine, and some terminated ones, instead of changes. */
    bool is_snapshot;
    struct rp_change *changes; /* without a snapshot, the changes up to `index`, in order; owned */
    size_t n_changes;
    char leader[RP_TEXT_MAX]; /* the leader that the sender follows; "" for none, or if it leads */
    double silent_s;          /* seconds for which that leader has not responded to the sender */
};

/** Why a message was refused. */
enum rp_stream_fault {
    RP_STREAM_NO_FAULT,        /* not refused */
    RP_STREAM_NOT_JSON,        /* not a JSON object */
    RP_STREAM_OTHER_VERSION,   /* of another version than RP_STREAM_VERSION */
    RP_STREAM_BAD_FIELD,       /* a field is missing, of a wrong type or out of range */
    RP_STREAM_TOO_LARGE,       /* more changes than a message may have */
    RP_STREAM_BAD_COMPRESSION, /* the snapshot cannot be decompressed */
    RP_STREAM_FAULTS           /* the number of faults */
};

/** A fault of a message, and the field that has it. */
struct rp_stream_error {
    enum rp_stream_fault fault;
    const char *field; /* the faulty field; "" if the whole message is at fault */
};

/** A fault's name for log lines, such as "bad field". */
const char *rp_stream_fault_name(enum rp_stream_fault fault);
/** Writes the target of a request, with its query. `request` NULL: without a query, from a node
 * that only requests the report about the leader. */
void rp_stream_request_encode(const struct rp_stream_request *request,
                              char target[RP_STREAM_TARGET_MAX]);
/** Reads a request's target. A target that cannot be read gives term and index 0, which requests a
 * snapshot. */
struct rp_stream_request rp_stream_request_decode(const char *target);
/** The message as text, which the caller frees; NULL if out of memory or a library fails. */
char *rp_stream_encode(const struct rp_stream_message *message);
/** Reads a message. Returns true on success: the caller must free `out` by rp_stream_message_free.
 * On failure there is nothing to free, and `error` is set to the fault. */
bool rp_stream_decode(const char *text, size_t len, struct rp_stream_message *out,
                      struct rp_stream_error *error);
/** Frees the message's changes. */
void rp_stream_message_free(struct rp_stream_message *message);

#endif
