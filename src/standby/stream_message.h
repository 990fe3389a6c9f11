/** @file
 * Messages by which a standby follows the leader: changes of the machine directory, or a compressed
 * snapshot of all of it. The one place that knows their JSON form. */
#ifndef RP_STANDBY_STREAM_MESSAGE_H
#define RP_STANDBY_STREAM_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "model/names.h"

/** A message of another version is refused: its sender is followed by heartbeats only. */
#define RP_STREAM_VERSION 1
/** Changes in one message; a standby that is further behind gets them in several, or a snapshot. */
#define RP_STREAM_CHANGES_MAX 4096
/** Machines in a snapshot, several times the 4,000 that the users run; a larger one is refused. */
#define RP_STREAM_MACHINES_MAX 65536

enum rp_change_kind {
    RP_CHANGE_MACHINE_UP,        /* it reports: its address and session are known */
    RP_CHANGE_MACHINE_RELEASING, /* the cloud is being told to take it back */
    RP_CHANGE_MACHINE_TERMINATED /* it is certainly gone */
};

struct rp_change {
    enum rp_change_kind kind;
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX]; /* of a machine that is up */
    uint64_t incarnation;   /* the same */
};

/** What a node answers to one that asks for the stream. */
struct rp_stream_message {
    uint64_t term;             /* the token under which the sender leads; 0: it doesn't lead */
    uint64_t index;            /* number of the last change in the message; the first is 1 */
    bool snapshot;             /* `changes` tells of every machine, and of some that are gone */
    struct rp_change *changes; /* else those that lead up to `index`, in order */
    size_t n_changes;
    /* Of a sender that doesn't lead: the leader that it knows, "" for none, and for how long it has
     * not heard of that one. */
    char leader[RP_TEXT_MAX];
    double silent_s;
};

enum rp_stream_fault {
    RP_STREAM_SOUND,
    RP_STREAM_NOT_JSON,        /* not a JSON object */
    RP_STREAM_OTHER_VERSION,   /* of a version that this program doesn't know */
    RP_STREAM_BAD_FIELD,       /* missing, of a wrong type or out of range */
    RP_STREAM_TOO_LARGE,       /* more changes than a message may have */
    RP_STREAM_BAD_COMPRESSION, /* a snapshot that can't be unpacked */
    RP_STREAM_FAULTS
};

struct rp_stream_error {
    enum rp_stream_fault fault;
    const char *field; /* the faulty one; "" where the whole message is at fault */
};

const char *rp_stream_fault_name(enum rp_stream_fault fault);
/** The message as text, which the caller frees; NULL when memory or the library fails. */
char *rp_stream_encode(const struct rp_stream_message *message);
/** Reads a message; on success the caller frees it by rp_stream_message_free. On failure nothing is
 * to be freed, and `error` tells what is wrong. */
bool rp_stream_decode(const char *text, size_t len, struct rp_stream_message *out,
                      struct rp_stream_error *error);
void rp_stream_message_free(struct rp_stream_message *message);

#endif
