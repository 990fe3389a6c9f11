/** @file
 * A standby's copy of the leader's machine directory. It tells where a machine can be reached, and
 * proves nothing: what runs there is told by the machine itself. It holds each machine that the
 * leader told of and hasn't told to be terminated, as of the change `index` of the leader's `term`.
 *
 * standby.c owns it and applies the stream's messages; machine_fencing.c looks machines up. */
#ifndef RP_STANDBY_MACHINE_DIRECTORY_H
#define RP_STANDBY_MACHINE_DIRECTORY_H

#include "cluster/tombstones.h"
#include "standby/stream_message.h"

/** Lists of the hash table: two for each of the 4,000 machines that the users run. */
#define RP_DIRECTORY_BUCKETS 8192

/** A machine, as the leader last told of it. */
struct rp_directory_machine {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    uint64_t incarnation;
    bool releasing;                    /* the leader had begun to scale it in */
    struct rp_directory_machine *next; /* in its bucket */
};

/** The directory; zeroed: a copy of none. */
struct rp_machine_directory {
    uint64_t term;  /* of the leader that it is a copy of; 0: of none */
    uint64_t index; /* the last change that it holds */
    size_t n_machines;
    struct rp_directory_machine *buckets[RP_DIRECTORY_BUCKETS];
    struct rp_tombstones tombstones; /* machines told to be terminated; names never come again */
};

/** What became of a message. */
enum rp_directory_outcome {
    RP_DIRECTORY_APPLIED,
    RP_DIRECTORY_OLD_TERM, /* the sender has been replaced: nothing was applied */
    RP_DIRECTORY_GAP       /* changes are missing: a snapshot is needed */
};

/** Applies a message of a leader (`term` > 0). Changes that are known already are passed over. */
enum rp_directory_outcome rp_machine_directory_apply(struct rp_machine_directory *directory,
                                                     const struct rp_stream_message *message);
/** The machine of this name; NULL: it isn't known. Lives until the next message is applied. */
const struct rp_directory_machine *
rp_machine_directory_find(const struct rp_machine_directory *directory, const char *machine);
/** Forgets the copy, but not which machines are terminated. */
void rp_machine_directory_clear(struct rp_machine_directory *directory);
/** Frees everything. */
void rp_machine_directory_free(struct rp_machine_directory *directory);

#endif
