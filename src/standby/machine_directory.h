/** @file
 * A standby's copy of the leader's machine directory. It gives the address of each machine and is
 * never evidence of what runs there, which only the machine itself reports. It contains each
 * machine that the leader has reported and not reported as terminated, as of the change `index` of
 * the leader's `term`.
 *
 * standby.c owns it and applies the stream's messages; machine_fencing.c looks machines up. */
#ifndef RP_STANDBY_MACHINE_DIRECTORY_H
#define RP_STANDBY_MACHINE_DIRECTORY_H

#include "cluster/tombstones.h"
#include "standby/stream_message.h"

/** Number of buckets of the hash table: two for each of the 4,000 machines that the users run. */
#define RP_DIRECTORY_BUCKETS 8192

/** A machine, as the leader last reported it. */
struct rp_directory_machine {
    char machine[RP_TEXT_MAX];
    char addr[RP_TEXT_MAX];
    uint64_t incarnation;
    bool is_releasing;                 /* the leader was releasing the machine */
    struct rp_directory_machine *next; /* next machine in the same bucket */
};

/** The directory. Zeroed memory is a directory without a leader or machines. */
struct rp_machine_directory {
    uint64_t term;  /* the term of the leader whose directory was copied; 0: no copy */
    uint64_t index; /* the number of the last change applied; 0: none */
    size_t n_machines;
    struct rp_directory_machine *buckets[RP_DIRECTORY_BUCKETS];
    struct rp_tombstones tombstones; /* terminated machines; names are never reused */
};

/** The outcome of applying a message. */
enum rp_directory_outcome {
    RP_DIRECTORY_APPLIED,
    RP_DIRECTORY_OLD_TERM, /* the sender has been replaced: nothing was applied */
    RP_DIRECTORY_GAP /* earlier changes are missing: nothing was applied, a snapshot is needed */
};

/** Applies a message of a leader (`term` > 0). Changes that are already applied are skipped. */
enum rp_directory_outcome rp_machine_directory_apply(struct rp_machine_directory *directory,
                                                     const struct rp_stream_message *message);
/** The machine of this name; NULL: it is not in the directory. The pointer is valid until the next
 * message is applied. */
const struct rp_directory_machine *
rp_machine_directory_find(const struct rp_machine_directory *directory, const char *machine);
/** Empties the directory, but keeps the tombstones of terminated machines. */
void rp_machine_directory_clear(struct rp_machine_directory *directory);
/** Frees the machines and the tombstones. */
void rp_machine_directory_free(struct rp_machine_directory *directory);

#endif
