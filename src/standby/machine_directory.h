/* A standby's copy of the leader's machine directory. It tells where a machine can be asked, and
 * proves nothing: what runs there is told by the machine itself. */
#ifndef RP_REPLICA_H
#define RP_REPLICA_H

#include "cluster/tombstones.h"
#include "standby/stream_message.h"

#define RP_REPLICA_BUCKETS 8192

struct rp_replica_machine {
    char machine[RP_TEXT_MAX], addr[RP_TEXT_MAX];
    uint64_t session;
    bool returning;                  /* the leader had begun to give it back */
    struct rp_replica_machine *next; /* in its bucket */
};

struct rp_replica {
    uint64_t term;  /* of the leader that it is a copy of; 0: of none */
    uint64_t index; /* the last change that it holds */
    size_t n_machines;
    struct rp_replica_machine *buckets[RP_REPLICA_BUCKETS];
    struct rp_gone_machines
        gone; /* names that leaders have told to be gone; they never come again */
};

enum rp_replica_outcome {
    RP_REPLICA_APPLIED,
    RP_REPLICA_OLD_TERM, /* the sender has been replaced: nothing was taken over */
    RP_REPLICA_GAP       /* changes are missing: a snapshot is needed */
};

enum rp_replica_outcome rp_replica_apply(struct rp_replica *replica,
                                         const struct rp_stream_message *message);
/* NULL: the machine isn't known. */
const struct rp_replica_machine *rp_replica_find(const struct rp_replica *replica,
                                                 const char *machine);
/* Forgets the copy, but not which machines are gone. */
void rp_replica_clear(struct rp_replica *replica);
void rp_replica_free(struct rp_replica *replica);

#endif
