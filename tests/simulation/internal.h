/* What the parts of the simulated world share. Each part has a file: events.c the clock's queue,
 * network.c requests and answers under way, store.c, cloud.c, workers.c with tasks.c, users.c and
 * nodes.c the parties, faults.c what goes wrong, rules.c what must hold, world.c set-up and steps.
 * The order of the random draws decides what a seed means: a change of it changes every simulated
 * day. */
#ifndef RP_SIM_INTERNAL_H
#define RP_SIM_INTERNAL_H

#include "sim.h"

#define SIM_STEP_S 0.02
#define SIM_LARGE 40  /* tasks of the largest jobs */
#define SIM_NEVER 1e9 /* a time that no day reaches */
/* Nodes that are processes of their own aren't told apart when they ask: no fault befalls single
 * ones. */
#define SIM_REMOTE_NODE (SIM_NODES_MAX - 1)

enum event_kind {
    EV_REQUEST,          /* a node's, to the store, the cloud, a worker or another node */
    EV_HEARTBEAT,        /* a worker's, to a node */
    EV_HEARTBEAT_ANSWER, /* and back */
    EV_CONCURRENT_READ,  /* a user is about to ask one certain node */
    EV_USER_ANSWER,      /* a node's answer to a user */
    EV_INVALID_ANSWER    /* and to an invalid request */
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
    int index; /* the worker's, or, for users, the job's; the status expected, for invalid requests
                */
    uint64_t heartbeat_number;
    int user_op;               /* enum sim_user_op */
    double asked_at;           /* when the user sent the request */
    bool held_for_next_leader; /* a heartbeat's duplicate that comes when a new leader begins */
};

enum sim_user_op { USER_SUBMITS, USER_POLLS, USER_CANCELS };

/* What a worker or a user asks of a node, and where the answer goes. */
struct sim_call {
    const char *method, *target, *body;
    enum event_kind answer; /* the kind of event that brings it */
    int index;              /* as in struct sim_event */
    uint64_t heartbeat_number;
    enum sim_user_op user_op;
};

struct sim_machine_type {
    const char *name;
    double cpus, gpus, memory, price, spot_price, boot;
};
extern const struct sim_machine_type sim_types[2];
extern const char *const sim_zones[2];

/* ---- events.c ---- */

double sim_uniform(struct sim *sim);
bool sim_chance(struct sim *sim, double probability);
/* Notes the first rule that breaks. */
void sim_violated(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
struct sim_event *sim_event_new(struct sim *sim, enum event_kind kind, double after_s);
void sim_event_free(struct sim_event *event);
/* Lets everything happen that is due. */
void sim_process_events(struct sim *sim);

/* ---- network.c ---- */

double sim_network_delay(struct sim *sim);
/* Copies a parameter of a request's query; NULL: it isn't there. */
const char *sim_query_parameter(const char *target, const char *name, char *out, size_t size);
/* What a node's process uses to reach the others; process_number tells it from earlier ones. */
struct rp_net sim_network_connect(struct sim *sim, int node, unsigned long process_number);
/* A request of a node is due; true: it is over, and its event can go. */
bool sim_on_request(struct sim *sim, struct sim_event *event);
/* The caller gets no answer, unless it already has one. */
void sim_time_out(struct sim *sim, struct sim_event *event);
void sim_on_heartbeat(struct sim *sim, const struct sim_event *event);
/* A copy of the request that nobody waits for. */
void sim_request_duplicate(struct sim *sim, const struct sim_event *event, double after_s);
/* A request of a worker or a user reaches a node, if it runs. */
void sim_node_receive(struct sim *sim, int index, const struct sim_call *call);

/* ---- store.c ---- */

/* Answers a request: its status; `out` is the answer's body, or stays as it is. */
int sim_store_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);
/* Whether it answers the node nothing but 503, in an outage or by itself. */
bool sim_store_is_refusing(const struct sim *sim, int node);
/* What a watch that starts from the revision in `target` is told of. */
json_t *sim_store_changes(struct sim *sim, const char *target);
/* Ends leases; they stand still during an outage. */
void sim_store_step(struct sim *sim);
void sim_store_free(struct sim *sim);

/* ---- cloud.c ---- */

int sim_cloud_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);

/* ---- workers.c, tasks.c ---- */

/* Where nodes reach the worker. */
const char *sim_worker_address(const struct sim *sim, const struct sim_worker *worker);
/* A direct command or question, when it arrives. 0: nobody is there to answer. */
int sim_worker_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);
/* The machine is paused, or its zone is cut off: what is on its way to it waits. */
bool sim_worker_is_paused(struct sim *sim, const struct sim_event *event);
void sim_worker_on_heartbeat_answer(struct sim *sim, const struct sim_event *event);
void sim_worker_step(struct sim *sim, int index);
bool sim_task_is_placed(const struct sim_task *task);
void sim_task_start(struct sim *sim, struct sim_worker *worker, const char *job_id, uint32_t index,
                    uint64_t attempt);
void sim_task_stop(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
                   double grace_s);
void sim_task_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task);

/* ---- nodes.c ---- */

void sim_node_start(struct sim *sim, int index);
void sim_node_step(struct sim *sim, int index);

/* ---- users.c ---- */

void sim_send_for_user(struct sim *sim, int job, enum sim_user_op operation, int node);
void sim_user_on_answer(struct sim *sim, const struct sim_event *event);
void sim_user_step(struct sim *sim, int index);

/* ---- faults.c ---- */

/* The random faults of a step, and the invalid requests that users make. */
void sim_inject_faults(struct sim *sim);
/* What happens to a transaction, or a heartbeat, on its way. */
void sim_fault_transaction(struct sim *sim, struct sim_event *event);
void sim_fault_heartbeat(struct sim *sim, const struct sim_event *event);
/* Right after a job was accepted, has ended or was cancelled, its user asks all nodes, again and
 * again within milliseconds, and submits it once more. */
void sim_read_concurrently(struct sim *sim, int job);

/* ---- rules.c ---- */

void sim_check_start(struct sim *sim, const struct sim_worker *worker, const struct sim_task *task);
void sim_check_command(struct sim *sim, const struct sim_job *job);
void sim_check_lease_renewal(struct sim *sim, const struct sim_worker *worker);
void sim_check_done(struct sim *sim, const struct sim_job *job);
void sim_check_invalid_request(struct sim *sim, const struct sim_event *event);
void sim_check_step(struct sim *sim);

#endif
