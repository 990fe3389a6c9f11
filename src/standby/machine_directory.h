/** @file
 * A standby's copy of the leader's machine directory. It tells where a machine can be asked, and
 * proves nothing: what runs there is told by the machine itself. */
#ifndef RP_STANDBY_MACHINE_DIRECTORY_H
#define RP_STANDBY_MACHINE_DIRECTORY_H

#include "cluster/tombstones.h"
#include "standby/stream_message.h"

#define RP_DIRECTORY_BUCKETS 8192

struct rp_directory_machine {
    char machine[RP_TEXT_MAX], addr[RP_TEXT_MAX];
    uint64_t incarnation;
    bool releasing;                    /* the leader had begun to give it back */
    struct rp_directory_machine *next; /* in its bucket */
};

struct rp_machine_directory {
    uint64_t term;  /* of the leader that it is a copy of; 0: of none */
    uint64_t index; /* the last change that it holds */
    size_t n_machines;
    struct rp_directory_machine *buckets[RP_DIRECTORY_BUCKETS];
    struct rp_tombstones
        tombstones; /* names that leaders have told to be gone; they never come again */
};

enum rp_directory_outcome {
    RP_DIRECTORY_APPLIED,
    RP_DIRECTORY_OLD_TERM, /* the sender has been replaced: nothing was taken over */
    RP_DIRECTORY_GAP       /* changes are missing: a snapshot is needed */
};

enum rp_directory_outcome rp_machine_directory_apply(struct rp_machine_directory *directory,
                                                     const struct rp_stream_message *message);
/** NULL: the machine isn't known. */
const struct rp_directory_machine *
rp_machine_directory_find(const struct rp_machine_directory *directory, const char *machine);
/** Forgets the copy, but not which machines are gone. */
void rp_machine_directory_clear(struct rp_machine_directory *directory);
void rp_machine_directory_free(struct rp_machine_directory *directory);

#endif
