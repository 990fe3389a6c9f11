/* What the parts of the simulated world share: the world itself (sim.c), what goes wrong in it
 * (sim_trouble.c), and the rules (sim_check.c). */
#ifndef RP_SIM_PARTS_H
#define RP_SIM_PARTS_H

#include "sim.h"

#define SIM_STEP_S 0.02
#define SIM_LARGE 40 /* tasks of the largest jobs */

enum event_kind {
    EV_REQUEST,          /* a node's, to the state service, the cloud, a worker or another node */
    EV_HEARTBEAT,        /* a worker's, to a node */
    EV_HEARTBEAT_ANSWER, /* and back */
    EV_CONCURRENT_READ,  /* a user is about to ask one certain node */
    EV_USER_ANSWER,      /* a node's answer to a user */
    EV_INVALID_ANSWER    /* and to a request that is wrong in some way */
};

/* Something on its way. */
struct sim_event {
    enum event_kind kind;
    double due_at;
    int node;
    unsigned long process_number;
    char addr[64], method[8], *target, *body;
    bool answered; /* nobody waits for the answer (any more) */
    double deadline;
    rp_answer_fn on_answer;
    void *on_answer_arg;
    bool unsent; /* where no connection could be made */
    int status;
    int index; /* or job, for users; or the status expected, for odd requests */
    uint64_t heartbeat_number;
    int user_op;               /* enum sim_user_op */
    double asked_at;           /* when the user sent the request */
    bool held_for_next_leader; /* a report's copy that is kept until a new leader begins */
};

enum sim_user_op { USER_SUBMITS, USER_POLLS, USER_CANCELS };

struct sim_machine_type {
    const char *name;
    double cpus, gpus, memory, price, spot_price, boot;
};
extern const struct sim_machine_type sim_types[2];
extern const char *const sim_zones[2];

double sim_uniform(struct sim *sim);
bool sim_chance(struct sim *sim, double p);
/* Notes the first rule that breaks. */
void sim_violated(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
struct sim_event *sim_event_new(struct sim *sim, enum event_kind kind, double after);
bool sim_task_is_placed(const struct sim_task *task);

/* What a node is asked by a user, and where its answer goes. */
void sim_send_to_node(struct sim *sim, int node, const char *method, const char *target,
                      const char *body, enum event_kind answer, int index, enum sim_user_op op);
void sim_send_for_user(struct sim *sim, int job, enum sim_user_op op, int node);

/* The troubles of a step, and what users do that is odd. */
void sim_inject_faults(struct sim *sim);
/* What happens to a transaction, or a report, on its way. */
void sim_fault_transaction(struct sim *sim, struct sim_event *event);
void sim_fault_heartbeat(struct sim *sim, const struct sim_event *event);
void sim_read_concurrently(struct sim *sim, int job);

/* The rules, at a start, at an answer, and after each step. */
void sim_check_start(struct sim *sim, const struct sim_worker *worker, const struct sim_task *task);
void sim_check_command(struct sim *sim, const struct sim_job *job);
void sim_check_lease_renewal(struct sim *sim, const struct sim_worker *worker);
void sim_check_done(struct sim *sim, const struct sim_job *job);
void sim_check_invalid_request(struct sim *sim, const struct sim_event *event);
void sim_check_step(struct sim *sim);

#endif
