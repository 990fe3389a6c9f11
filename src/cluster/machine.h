/** @file
 * A machine: what it is, where it is in its life, the exchange with its worker, and the allocations
 * on it. This module has the data and what a machine alone tells; what changes the counts of the
 * cluster state is in allocation.h, unknown_tasks.h and machine_lifecycle.h. */
#ifndef RP_CLUSTER_MACHINE_H
#define RP_CLUSTER_MACHINE_H

#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/heartbeat.h"
#include "model/job_spec.h"

/** Where a machine is in its life; rp_machine_set_state (machine_lifecycle.h) has the edges. */
enum rp_machine_state {
    RP_MACHINE_BOOTING,      /* provisioned, has sent no heartbeat yet, can hold nothing */
    RP_MACHINE_UNRECONCILED, /* from an earlier leader's records: may hold any task */
    RP_MACHINE_UP,           /* its heartbeats tell all that it holds */
    RP_MACHINE_LOST,         /* silent beyond its lease: holds nothing, is to be released */
    RP_MACHINE_RELEASING     /* the cloud is being told; never used again */
};

/** What is known of a task that may be on a machine; rp_allocation_set_state (allocation.h) has the
 * edges. */
enum rp_allocation_state {
    RP_ALLOCATION_PLANNED, /* no command has been sent: can be dropped at once */
    RP_ALLOCATION_SENT,    /* the start is in a heartbeat's answer; a newer heartbeat settles it */
    RP_ALLOCATION_SEEN,    /* in the machine's newest heartbeat */
    RP_ALLOCATION_EXITED   /* has exited there: no longer on the machine, to be forgotten */
};

/** A task that may be on a machine. While it isn't RP_ALLOCATION_EXITED, the task is counted by its
 * job, its zone and its team, and started nowhere else. */
struct rp_allocation {
    struct rp_job *job;
    uint32_t task;
    uint64_t attempt;
    enum rp_allocation_state state;
    enum rp_task_state task_state;
    enum rp_exit_reason exit_reason;
    uint64_t sent_seq;         /* of the heartbeat whose answer carried the start */
    uint64_t seen_seq;         /* of the newest message that listed it */
    bool started_directly;     /* the start went as a direct command: copies of it may come late */
    bool direct_start_pending; /* and that command's answer is still waited for */
    struct timespec planned_at;
    struct timespec running_since; /* first seen running */
    bool stop_requested;           /* is to be stopped */
    double grace_s;
    struct timespec stop_sent_at;
    bool listed; /* scratch while a heartbeat is read: it lists the task */
};

/** Images known of a machine, by 24 bytes; beyond, the one used longest ago is forgotten. */
#define RP_IMAGES_MAX 128
/** Tasks of unknown jobs known of a machine; those beyond are only counted. */
#define RP_UNKNOWN_TASKS_MAX 256

/** A task on a machine whose job this leader doesn't know (any more): stopped and forgotten. */
struct rp_unknown_task {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    bool exited;
};

/** An image on a machine's disk. */
struct rp_image {
    uint64_t hash; /* of the name: a wrong guess costs a fetch, no more */
    double gb;
    struct timespec used_at;
};

struct rp_provision_request;

/** The exchange with a machine's worker, and what it proves. A time of zero: never. */
struct rp_machine_contact {
    uint64_t incarnation;     /* of the worker; it grows each time the worker's lease expires */
    uint64_t seq;             /* of the newest message: a heartbeat or a direct command's answer */
    uint64_t heartbeat_seq;   /* of the newest heartbeat */
    unsigned n_direct;        /* direct commands and probes sent since that heartbeat */
    bool unreachable;         /* a direct command found no way there, and nothing has come since */
    bool probing;             /* a probe is under way */
    unsigned n_probes_failed; /* in a row */
    struct timespec probed_at;
    bool fencing_token_seen;    /* the newest heartbeat shows this leader's token */
    bool known_by_fencing_only; /* it answered a new leader's token, but sent no heartbeat yet */
    struct timespec last_heartbeat_at;
    struct timespec last_message_at; /* the newest message of any kind */
    struct timespec lease_expiry;    /* its tasks are gone by then unless it is answered again */
    struct timespec first_answer_at, last_answer_at; /* sent by this leader */
    uint64_t lost_incarnation;          /* in which it was lost; 0: none that this leader knows */
    struct timespec answers_lost_since; /* heartbeats arrive, but answers don't get there */
};

/** The cloud is about to take a spot machine away. */
struct rp_spot_notice {
    bool received;
    struct timespec ends_at;
};

/** Errors of tasks, as evidence against the machine (quarantine.h). */
struct rp_machine_health {
    unsigned n_consecutive_errors; /* since the last task that ended well */
    unsigned n_error_jobs;         /* jobs that these errors were of */
    uint64_t last_error_job;       /* the last of them, as a hash of its id */
    bool suspected;                /* either the machine or that job is at fault */
    struct timespec suspected_until;
    bool quarantined;
};

/** The machine's capacity, reserved for one job. */
struct rp_reservation {
    char job_id[RP_ID_MAX]; /* "": none */
    struct timespec until;
};

/** The way of a machine back to the cloud. */
struct rp_scale_in {
    bool draining;         /* its work moves elsewhere first */
    struct timespec since; /* in RP_MACHINE_RELEASING */
    bool delete_sent;
    unsigned n_lists_missing; /* lists of the cloud, in a row, that didn't name it */
    bool listed_failed;       /* the cloud lists it as failed */
};

/** A machine that the service has from the cloud, and what may be on it. Belongs to the cluster
 * state; pointers to it hold until rp_machine_remove. */
struct rp_machine {
    /* What it is. */
    char name[RP_TEXT_MAX], addr[RP_TEXT_MAX];
    int type; /* index in the catalog; -1: a type that it doesn't have */
    int zone; /* index in the catalog's zones; -1: unknown */
    bool spot;
    /* Its lifecycle. */
    enum rp_machine_state state;
    bool recorded;    /* its name is durable */
    bool up_recorded; /* and that it is up: only then may starts go to it */
    struct rp_provision_request *provision_request;
    struct timespec requested_at, up_at, lost_since;
    struct rp_scale_in scale_in;
    struct rp_machine_contact contact;
    struct rp_spot_notice spot_notice;
    struct rp_machine_health health;
    struct rp_reservation reservation;
    /* What it holds. */
    struct rp_allocation *allocations;
    size_t n_allocations, cap_allocations;
    struct rp_unknown_task *unknown_tasks;
    size_t n_unknown_tasks;
    size_t n_unknown_not_exited; /* of them those that haven't exited, and those beyond the bound */
    struct rp_image *images;
    size_t n_images, cap_images;
    struct rp_machine *prev, *next; /* all machines, in the order in which they were added */
    struct rp_machine *hash_next;   /* machines of the same bucket */
};

/** The state's name for log lines, such as "unreconciled". */
const char *rp_machine_state_name(enum rp_machine_state state);
/** What kind of machine it is, by names that a record, the cloud or its worker told. Nothing
 * changes once type and zone are known, or while it holds allocations: they are counted by its
 * zone. */
void rp_machine_set_kind(struct rp_machine *machine, const struct rp_catalog *catalog,
                         const char *type, const char *zone, bool spot);
/** Whether tasks may be started on it, as far as the machine alone is concerned. */
bool rp_machine_is_usable(const struct rp_machine *machine);
/** Whether its heartbeats arrive, but nothing shows that it gets our answers. */
bool rp_machine_is_one_way_partitioned(const struct rp_machine *machine);
/** Whether nothing is on the machine, nor may be. What has ended may still be listed: attempts that
 * were started directly are kept known there, so that late copies of their starts do nothing. */
bool rp_machine_is_idle(const struct rp_machine *machine);
/** Whether the task may still be on the machine, and is counted. */
static inline bool rp_allocation_is_counted(const struct rp_allocation *allocation) {
    return allocation->state != RP_ALLOCATION_EXITED;
}

#endif
