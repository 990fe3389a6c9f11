/** @file
 * Messages by which a standby follows the leader: a request, and an answer with changes of the
 * machine directory or a compressed snapshot of all of it. The one place that knows their form on
 * the wire. An answer comes from another process, perhaps of another version: whatever isn't
 * exactly as expected is refused with its fault, and nothing of it is used.
 *
 * stream_client.c and stream_server.c exchange the messages, change_log.c keeps changes, and
 * machine_directory.c applies them. */
#ifndef RP_STANDBY_STREAM_MESSAGE_H
#define RP_STANDBY_STREAM_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "model/names.h"

/** The path of the stream on the peers' port. */
#define RP_PATH_STREAM "/peer/stream"
/** The size of a request's target: the path, and two numbers of at most 20 digits. */
#define RP_STREAM_TARGET_MAX 128
/** A message of another version is refused: its sender is followed by heartbeats only. */
#define RP_STREAM_VERSION 1
/** Changes in one message; a standby that is further behind gets them in several, or a snapshot. */
#define RP_STREAM_CHANGES_MAX 4096
/** Machines in a snapshot, several times the 4,000 that the users run; a larger one is refused. */
#define RP_STREAM_MACHINES_MAX 65536

/** What a standby has of the stream so far. */
struct rp_stream_request {
    uint64_t term;  /* of the leader that its directory is a copy of; 0: of none */
    uint64_t index; /* the last change that it holds */
};

/** What has happened to a machine. */
enum rp_change_kind {
    RP_CHANGE_MACHINE_UP,        /* it sends heartbeats: address and incarnation are known */
    RP_CHANGE_MACHINE_RELEASING, /* the cloud is being told to take it back */
    RP_CHANGE_MACHINE_TERMINATED /* it certainly runs no more */
};

/** A change of a machine, or in a snapshot the machine as it is. */
struct rp_change {
    enum rp_change_kind kind;
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX]; /* for RP_CHANGE_MACHINE_UP */
    uint64_t incarnation;   /* the same */
};

/** What a node answers to one that asks for the stream. */
struct rp_stream_message {
    uint64_t term;             /* the token under which the sender leads; 0: it doesn't lead */
    uint64_t index;            /* number of the last change in the message; the first is 1 */
    bool snapshot;             /* `changes` tells of every machine, and of some terminated ones */
    struct rp_change *changes; /* else those that lead up to `index`, in order; owned */
    size_t n_changes;
    /* Of a sender that doesn't lead: the leader that it knows, "" for none, and for how long it has
     * not heard of that one. */
    char leader[RP_TEXT_MAX];
    double silent_s;
};

/** Why a message was refused. */
enum rp_stream_fault {
    RP_STREAM_SOUND,
    RP_STREAM_NOT_JSON,        /* not a JSON object */
    RP_STREAM_OTHER_VERSION,   /* of a version that this program doesn't know */
    RP_STREAM_BAD_FIELD,       /* missing, of a wrong type or out of range */
    RP_STREAM_TOO_LARGE,       /* more changes than a message may have */
    RP_STREAM_BAD_COMPRESSION, /* a snapshot that can't be unpacked */
    RP_STREAM_FAULTS
};

/** A fault, and where it is. */
struct rp_stream_error {
    enum rp_stream_fault fault;
    const char *field; /* the faulty one; "" where the whole message is at fault */
};

/** A fault's name for log lines, such as "bad field". */
const char *rp_stream_fault_name(enum rp_stream_fault fault);
/** Writes the target of a request, with its query. `request` NULL: without one, from a node that
 * only asks about the leader. */
void rp_stream_request_encode(const struct rp_stream_request *request,
                              char target[RP_STREAM_TARGET_MAX]);
/** Reads a request's target. What can't be read asks for a snapshot: term and index are 0. */
struct rp_stream_request rp_stream_request_decode(const char *target);
/** The message as text, which the caller frees; NULL when memory or the library fails. */
char *rp_stream_encode(const struct rp_stream_message *message);
/** Reads a message. Returns true on success: the caller must free it by rp_stream_message_free. On
 * failure nothing is to be freed, and `error` tells what is wrong. */
bool rp_stream_decode(const char *text, size_t len, struct rp_stream_message *out,
                      struct rp_stream_error *error);
/** Frees the message's changes. */
void rp_stream_message_free(struct rp_stream_message *message);

#endif
